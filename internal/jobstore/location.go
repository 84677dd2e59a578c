package jobstore

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/store"
)

// The keys of a job begin with its pool, which its owner watches. Which pool that is follows from the configuration at the
// moment of submission, and later versions may send the same host and path to another pool. The location of a job tells its
// pool from its address alone. It is written in the transaction of the job, on the condition that there is none, so that entry
// hosts with different versions cannot both store a job at one address.

// locationWrite is the part of a pendingWrite that writes the location of a job.
type locationWrite struct {
	key, pool string
	data      []byte
}

// newLocationWrite returns nil for a job without an address.
func newLocationWrite(address, pool, id string) (*locationWrite, error) {
	if address == "" {
		return nil, nil //nolint:nilnil // nothing is to be written
	}
	data, err := proto.Marshal(&pb.JobLocation{Pool: pool, Id: id})
	return &locationWrite{key: jobkeys.Location(address), pool: pool, data: data}, err
}

// elsewhereError is the result of a write whose job is located in another pool. Nothing was written.
type elsewhereError struct{ pool string }

func (e *elsewhereError) Error() string { return fmt.Sprintf("job is located in pool %s", e.pool) }

// Locate returns the pool and the id under which the job at an address is stored. found is false if the address has no location:
// there is no job, or an earlier version of the program has stored it. The id is empty if an earlier version has written the
// location. Errors: store.Unavailable, Unreadable.
func (s *Store) Locate(ctx context.Context, address string) (at jobstate.Ref, found bool, err error) {
	item, err := s.get(ctx, jobkeys.Location(address))
	if err != nil {
		return jobstate.Ref{}, false, store.Unavailable.Wrap(err)
	}
	return refOf(item)
}

// refOf returns the pool and the id of a location that was read.
func refOf(item store.Item) (at jobstate.Ref, found bool, err error) {
	location := &pb.JobLocation{}
	if item.Version == 0 {
		return jobstate.Ref{}, false, nil
	}
	if err := proto.Unmarshal(item.Data, location); err != nil || location.GetPool() == "" {
		return jobstate.Ref{}, false, Unreadable.New("location %s", item.Key)
	}
	return jobstate.Ref{Pool: location.GetPool(), ID: location.GetId()}, true, nil
}

// completeElsewhere completes the writes whose location exists and names another pool, and returns the others. Of those, the
// ones whose location exists do not write it.
func completeElsewhere(group []*pendingWrite, present map[string]store.Item) []*pendingWrite {
	var rest []*pendingWrite
	for _, w := range group {
		if w.location != nil {
			at, found, err := refOf(present[w.location.key])
			switch {
			case err != nil:
				w.done <- err
				continue
			case found && at.Pool != w.location.pool:
				w.done <- &elsewhereError{at.Pool}
				continue
			case found:
				w.location = nil
			}
		}
		rest = append(rest, w)
	}
	return rest
}

// completeRivals completes the writes whose location another write of the group with another key would write too, and returns
// the others. They can be repeated, and then meet that location.
func completeRivals(group []*pendingWrite) []*pendingWrite {
	keyOf := map[string]string{}
	var rest []*pendingWrite
	for _, w := range group {
		if w.location != nil {
			key, taken := keyOf[w.location.key]
			if taken && key != w.key {
				w.done <- store.Unavailable.New("another write for the address is in progress")
				continue
			}
			keyOf[w.location.key] = w.key
		}
		rest = append(rest, w)
	}
	return rest
}

// acceptElsewhere stores a job whose address is located in another pool than its record names, unless it is stored there. It
// returns StoredElsewhere if the job is stored there.
func (s *Store) acceptElsewhere(ctx context.Context, rec *pb.JobRecord, pool string) error {
	moved := proto.CloneOf(rec)
	moved.Pool = pool
	if err := s.Accept(ctx, moved); err != nil {
		return err
	}
	return StoredElsewhere.New("job %s is in pool %s", rec.GetId(), pool)
}

// cancelLocated calls cancel for the pool in which the job is located. If its address has no location, the cancellation writes
// one, so that a job whose write takes effect late is stored under the same pool and does not run.
func (s *Store) cancelLocated(
	ctx context.Context, ref jobstate.Ref, by jobstate.Requester,
	cancel func(context.Context, jobstate.Ref, jobstate.Requester) (known bool, err error),
) (known bool, err error) {
	if ref.Address != "" {
		at, found, err := s.Locate(ctx, ref.Address)
		if err != nil {
			return false, store.Unavailable.Wrap(err)
		}
		if found {
			ref = jobstate.Ref{Pool: at.Pool, ID: ref.ID}
		}
	}
	known, err = cancel(ctx, ref, by)
	var elsewhere *elsewhereError
	if errors.As(err, &elsewhere) {
		return cancel(ctx, jobstate.Ref{Pool: elsewhere.pool, ID: ref.ID}, by)
	}
	return known, err
}
