package jobstore

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/store"
)

const (
	// maxEntries are the entries of a transaction besides the owner's condition.
	maxEntries = store.MaxTransactionEntries - 1
	// maxTransactionBytes bounds the values of one transaction.
	maxTransactionBytes = 512 << 10
	// keysOfJob are the keys that Forget deletes for a job.
	keysOfJob = 3
)

// Record stores progress of a pool's jobs, several in a transaction. Each transaction is all or nothing, and holds only
// if the pool's owner key still has the fence. After an error some may be stored; the call may be repeated as it was.
// Errors: Fenced, store.Unavailable, store.Unknown.
func (s *Store) Record(ctx context.Context, pool string, fence uint64, ps []*pb.JobProgress) error {
	var puts []store.Put
	size := 0
	for _, p := range ps {
		data, err := proto.Marshal(p)
		if err != nil {
			return err
		}
		if len(puts) > 0 && (len(puts) == maxEntries || size+len(data) > maxTransactionBytes) {
			if err := s.commitFenced(ctx, pool, fence, store.Transaction{Puts: puts}); err != nil {
				return err
			}
			puts, size = nil, 0
		}
		puts = append(puts, store.Put{Key: jobkeys.Progress(pool, p.GetId()), Data: data})
		size += len(data)
	}
	if len(puts) == 0 {
		return nil
	}
	return s.commitFenced(ctx, pool, fence, store.Transaction{Puts: puts})
}

// Forget deletes all records of the jobs. Errors: as Record.
func (s *Store) Forget(ctx context.Context, pool string, fence uint64, ids []string) error {
	const perTransaction = maxEntries / keysOfJob
	for len(ids) > 0 {
		n := min(len(ids), perTransaction)
		var t store.Transaction
		for _, id := range ids[:n] {
			t.Deletes = append(t.Deletes, jobkeys.Job(pool, id), jobkeys.Cancel(pool, id), jobkeys.Progress(pool, id))
		}
		if err := s.commitFenced(ctx, pool, fence, t); err != nil {
			return err
		}
		ids = ids[n:]
	}
	return nil
}

// commitFenced commits on the condition that the pool's owner key has the fence.
func (s *Store) commitFenced(ctx context.Context, pool string, fence uint64, t store.Transaction) error {
	t.Conditions = []store.Condition{{Key: jobkeys.Owner(pool), Version: fence}}
	err := s.commit(ctx, t)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return Fenced.Wrap(err)
	}
	return err
}
