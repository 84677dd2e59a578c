package jobstore

import (
	"bytes"
	"context"
	"errors"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/store"
)

const (
	// MaxRecorded is how many jobs Record writes in one transaction: a condition and a put each, besides the owner's
	// condition.
	MaxRecorded = (store.MaxTransactionEntries - 1) / 2
	// maxTransactionBytes bounds the values of one transaction.
	maxTransactionBytes = 512 << 10
	// keysOfJob are the keys that Forget deletes for a job.
	keysOfJob = 3
	// maxForgotten bounds the jobs of one transaction of Forget.
	maxForgotten = (store.MaxTransactionEntries - 1) / keysOfJob
	// maxCancels bounds the cancellations of one transaction of ForgetCancels: a condition and a delete each.
	maxCancels = (store.MaxTransactionEntries - 1) / 2
)

// Record stores progress of a pool's jobs, several in a transaction. Each transaction is all or nothing, and holds only
// if the pool's owner key still has the fence and the progress keys are as this owner left them: a write whose answer
// was lost cannot land over a later one. The owner has called Load before. Calls for one pool wait for one another.
// After an error some may be stored; call again with the same or newer progress.
// Errors: Fenced, store.Unavailable, store.Unknown.
func (s *Store) Record(ctx context.Context, pool string, fence uint64, ps []*pb.JobProgress) error {
	keys, err := s.progress.lock(ctx, pool)
	if err != nil {
		return err
	}
	defer keys.unlock()
	var puts []store.Put
	size := 0
	for _, p := range ps {
		data, err := proto.Marshal(p)
		if err != nil {
			return err
		}
		if len(puts) > 0 && (len(puts) == MaxRecorded || size+len(data) > maxTransactionBytes) {
			if err := s.recordAll(ctx, pool, fence, keys, puts); err != nil {
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
	return s.recordAll(ctx, pool, fence, keys, puts)
}

// recordAll commits the puts. A conflict shows an earlier write of this owner that landed without an answer, or that it
// was replaced.
func (s *Store) recordAll(ctx context.Context, pool string, fence uint64, keys *poolKeys, puts []store.Put) error {
	for range maxRounds {
		t := store.Transaction{Puts: puts}
		for _, p := range puts {
			t.Conditions = append(t.Conditions, store.Condition{Key: p.Key, Version: keys.versions[p.Key]})
		}
		revision, conflict, err := s.commitFenced(ctx, pool, fence, t)
		if err != nil {
			return err
		}
		if conflict == nil {
			for _, p := range puts {
				keys.versions[p.Key] = revision
			}
			return nil
		}
		if keys.adopt(conflict, puts) {
			return nil
		}
	}
	return store.Unavailable.New("conflicts did not end")
}

// Forget deletes all records of the jobs. Errors: as Record.
func (s *Store) Forget(ctx context.Context, pool string, fence uint64, ids []string) error {
	keys, err := s.progress.lock(ctx, pool)
	if err != nil {
		return err
	}
	defer keys.unlock()
	for len(ids) > 0 {
		n := min(len(ids), maxForgotten)
		var t store.Transaction
		for _, id := range ids[:n] {
			t.Deletes = append(t.Deletes, jobkeys.Job(pool, id), jobkeys.Cancel(pool, id), jobkeys.Progress(pool, id))
		}
		if _, _, err := s.commitFenced(ctx, pool, fence, t); err != nil {
			return err
		}
		for _, id := range ids[:n] {
			delete(keys.versions, jobkeys.Progress(pool, id))
		}
		ids = ids[n:]
	}
	return nil
}

// ForgetCancels deletes cancellations of jobs that the store does not have. It returns the ids whose job it has: their
// cancellations stay. Errors: as Record; call again then.
func (s *Store) ForgetCancels(ctx context.Context, pool string, fence uint64, ids []string) (kept []string, err error) {
	for batch := range slices.Chunk(ids, maxCancels) {
		var t store.Transaction
		for _, id := range batch {
			t.Conditions = append(t.Conditions, store.Condition{Key: jobkeys.Job(pool, id)})
			t.Deletes = append(t.Deletes, jobkeys.Cancel(pool, id))
		}
		_, conflict, err := s.commitFenced(ctx, pool, fence, t)
		if err != nil {
			return kept, err
		}
		if conflict == nil {
			continue
		}
		if len(batch) == 1 {
			kept = append(kept, batch[0])
			continue
		}
		for _, id := range batch {
			one, err := s.ForgetCancels(ctx, pool, fence, []string{id})
			if err != nil {
				return kept, err
			}
			kept = append(kept, one...)
		}
	}
	return kept, nil
}

// commitFenced commits on the further condition that the pool's owner key has the fence. It returns the states of the
// keys if another condition does not hold.
func (s *Store) commitFenced(
	ctx context.Context, pool string, fence uint64, t store.Transaction,
) (revision uint64, conflict []store.Item, err error) {
	owner := store.Condition{Key: jobkeys.Owner(pool), Version: fence}
	t.Conditions = append(t.Conditions, owner)
	revision, _, err = s.commit(ctx, t)
	var failed *store.ConflictError
	if !errors.As(err, &failed) {
		return revision, nil, err
	}
	isOwner := func(i store.Item) bool { return i.Key == owner.Key && i.Version == fence }
	if !slices.ContainsFunc(failed.Items, isOwner) {
		return 0, nil, Fenced.Wrap(err)
	}
	return 0, failed.Items, nil
}

// adopt takes the versions of the keys as the store has them, and reports whether it has all the puts already. Items may
// leave out absent keys.
func (k *poolKeys) adopt(items []store.Item, puts []store.Put) bool {
	present := make(map[string]store.Item, len(items))
	for _, i := range items {
		present[i.Key] = i
	}
	there := 0
	for _, p := range puts {
		i := present[p.Key]
		k.versions[p.Key] = i.Version
		if i.Version > 0 && bytes.Equal(i.Data, p.Data) {
			there++
		}
	}
	return there == len(puts)
}
