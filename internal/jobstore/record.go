package jobstore

import (
	"bytes"
	"context"
	"errors"
	"slices"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/store"
)

const (
	// MaxRecorded bounds the jobs of one transaction of Record: each takes a condition and a put, besides the owner's
	// condition.
	MaxRecorded = (store.MaxTransactionEntries - 1) / 2
	// maxTransactionBytes bounds the values of one transaction.
	maxTransactionBytes = 512 << 10
	// maxForgetJobs bounds the jobs of one transaction of Forget: each takes a condition and up to four deletes.
	maxForgetJobs = (store.MaxTransactionEntries - 1) / 5
	// maxForgetCancels bounds the cancellations of one transaction of ForgetCancels: each takes a condition and two deletes.
	maxForgetCancels = (store.MaxTransactionEntries - 1) / 3
)

// Record stores progress of a pool's jobs, several jobs in a transaction. Each transaction is atomic, and succeeds only
// if the pool's owner key still has the version fence and each progress key has the version that this owner last read or
// wrote, so that a write whose answer was lost cannot overwrite a later one. The owner must have called Load before.
// Calls for the same pool are serialised. After an error some progress may be stored; retry with the same or newer
// progress.
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

// recordAll commits the puts. Its error is Fenced if this owner was replaced. Any other conflict means that an unanswered
// write of this owner has taken effect.
func (s *Store) recordAll(ctx context.Context, pool string, fence uint64, keys *poolKeys, puts []store.Put) error {
	for range maxConflictRounds {
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
	return store.Unavailable.New("conflicts persist after retries")
}

// Forget deletes all records of the jobs, whose pools are not read. Each progress key must have the version that this owner last
// read or wrote, so that a call whose answer was lost cannot delete a later job with the same id. Errors: those of Record.
func (s *Store) Forget(ctx context.Context, pool string, fence uint64, jobs []jobstate.Ref) error {
	keys, err := s.progress.lock(ctx, pool)
	if err != nil {
		return err
	}
	defer keys.unlock()
	for batch := range slices.Chunk(jobs, maxForgetJobs) {
		if err := s.forgetAll(ctx, pool, fence, keys, batch); err != nil {
			return err
		}
	}
	return nil
}

// forgetAll commits the deletion of the jobs. Progress that has become absent was deleted by an unanswered call of this owner, together
// with the job's other records.
func (s *Store) forgetAll(ctx context.Context, pool string, fence uint64, keys *poolKeys, jobs []jobstate.Ref) error {
	for range maxConflictRounds {
		if len(jobs) == 0 {
			return nil
		}
		var t store.Transaction
		for _, j := range jobs {
			progress := jobkeys.Progress(pool, j.ID)
			t.Conditions = append(t.Conditions, store.Condition{Key: progress, Version: keys.versions[progress]})
			t.Deletes = append(t.Deletes, jobkeys.Job(pool, j.ID), jobkeys.Cancel(pool, j.ID), progress)
			if j.Address != "" {
				t.Deletes = append(t.Deletes, jobkeys.Location(j.Address))
			}
		}
		_, conflict, err := s.commitFenced(ctx, pool, fence, t)
		if err != nil {
			return err
		}
		if conflict == nil {
			for _, j := range jobs {
				delete(keys.versions, jobkeys.Progress(pool, j.ID))
			}
			return nil
		}
		present := lo.SliceToMap(conflict, func(i store.Item) (string, uint64) { return i.Key, i.Version })
		jobs = lo.Filter(jobs, func(j jobstate.Ref, _ int) bool {
			progress := jobkeys.Progress(pool, j.ID)
			known := keys.versions[progress]
			keys.versions[progress] = present[progress]
			return known == 0 || present[progress] > 0
		})
	}
	return store.Unavailable.New("conflicts persist after retries")
}

// ForgetCancels deletes the cancellations of jobs that are not in the store. It returns the others, which stay. After a
// conflict, the cancellations of a transaction are tried one by one. Errors: those of Record, after which it may be repeated.
func (s *Store) ForgetCancels(ctx context.Context, pool string, fence uint64, ids []string) (kept []*pb.JobCancel, err error) {
	for batch := range slices.Chunk(ids, maxForgetCancels) {
		var t store.Transaction
		for _, id := range batch {
			t.Conditions = append(t.Conditions, store.Condition{Key: jobkeys.Job(pool, id)})
			t.Deletes = append(t.Deletes, jobkeys.Cancel(pool, id))
			address, err := s.cancelledAddress(ctx, pool, id)
			if err != nil {
				return kept, err
			}
			if address != "" {
				t.Deletes = append(t.Deletes, jobkeys.Location(address))
			}
		}
		_, conflict, err := s.commitFenced(ctx, pool, fence, t)
		if err != nil {
			return kept, err
		}
		if conflict == nil {
			continue
		}
		if len(batch) == 1 {
			item, err := s.get(ctx, jobkeys.Cancel(pool, batch[0]))
			if err != nil {
				return kept, err
			}
			if item.Version > 0 {
				kept = append(kept, s.decodeCancel(ctx, batch[0], item))
			}
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

// cancelledAddress returns the address whose location the cancellation of an unknown job has written; empty if it wrote none.
func (s *Store) cancelledAddress(ctx context.Context, pool, id string) (string, error) {
	item, err := s.get(ctx, jobkeys.Cancel(pool, id))
	if err != nil || item.Version == 0 {
		return "", err
	}
	return s.decodeCancel(ctx, id, item).GetAddress(), nil
}

// commitFenced commits on the additional condition that the pool's owner key has the version fence. If another condition
// fails, it returns the current items of the keys as conflict.
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

// adopt sets the versions of the puts' keys to those in the store, and reports whether all puts are stored already. items
// may omit absent keys.
func (k *poolKeys) adopt(items []store.Item, puts []store.Put) bool {
	present := make(map[string]store.Item, len(items))
	for _, i := range items {
		present[i.Key] = i
	}
	stored := 0
	for _, p := range puts {
		i := present[p.Key]
		k.versions[p.Key] = i.Version
		if i.Version > 0 && bytes.Equal(i.Data, p.Data) {
			stored++
		}
	}
	return stored == len(puts)
}
