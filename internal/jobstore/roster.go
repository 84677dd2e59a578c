package jobstore

import (
	"bytes"
	"context"

	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/store"
)

// Roster reads the workers that may run tasks of a pool, and the version of the record, which is 0 if there is none. An
// owner reads it after it has acquired the pool. Errors: store.Unavailable, Unreadable; the version is valid with the
// latter.
func (s *Store) Roster(ctx context.Context, pool string) (*pb.Roster, uint64, error) {
	item, err := s.get(ctx, jobkeys.Roster(pool))
	if err != nil {
		return nil, 0, err
	}
	roster := &pb.Roster{}
	if err := proto.Unmarshal(item.Data, roster); err != nil {
		return nil, item.Version, Unreadable.Wrap(err)
	}
	return roster, item.Version, nil
}

// SetRoster replaces the record, whose last known version is given, and returns its new version. The condition on the
// version keeps a write whose answer was lost from overwriting a later one. After a conflict the write is repeated with
// the version in the store. Errors: those of Record.
func (s *Store) SetRoster(ctx context.Context, pool string, fence uint64, roster *pb.Roster, version uint64) (uint64, error) {
	key := jobkeys.Roster(pool)
	data, err := proto.Marshal(roster)
	if err != nil {
		return version, err
	}
	for range maxConflictRounds {
		revision, conflict, err := s.commitFenced(ctx, pool, fence, store.Transaction{
			Conditions: []store.Condition{{Key: key, Version: version}},
			Puts:       []store.Put{{Key: key, Data: data}},
		})
		if err != nil {
			return version, err
		}
		if conflict == nil {
			return revision, nil
		}
		version = 0
		for _, i := range conflict {
			if i.Key != key {
				continue
			}
			version = i.Version
			if version > 0 && bytes.Equal(i.Data, data) {
				return version, nil
			}
		}
	}
	return version, store.Unavailable.New("conflicts persist after retries")
}
