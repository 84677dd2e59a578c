package entryhost

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/store"
)

const (
	// swapAttempts bounds the compare-and-swaps of one change.
	swapAttempts = 8

	keyFleet      = "fleet"
	keyConfig     = "config"
	keyController = "controller"
)

// writer changes the fleet value by compare-and-swap. It is safe for concurrent use.
type writer struct {
	kv   store.KV
	view *view
}

// fleetChange returns the changed fleet, or its argument when nothing is to change. It must not modify its argument, and
// it must be idempotent: after a lost answer it may be asked again about a fleet that already holds the change.
type fleetChange func(f *pb.Fleet) (*pb.Fleet, error)

// read returns the fleet in the store and its version.
func (w *writer) read(ctx context.Context) (*pb.Fleet, uint64, error) {
	value, err := w.kv.Get(ctx, keyFleet)
	if err != nil {
		return nil, 0, err
	}
	w.view.heardStore(time.Now())
	f := &pb.Fleet{}
	if err := proto.Unmarshal(value.Data, f); err != nil {
		return nil, 0, errCorrupt.New("key %q: %v", keyFleet, err)
	}
	return f, value.Version, nil
}

// update applies the change to the newest fleet, again after each conflict, and returns the fleet that holds it.
func (w *writer) update(ctx context.Context, change fleetChange) (*pb.Fleet, error) {
	var last error
	backoff := store.DefaultBackoff()
	for attempt := range swapAttempts {
		if attempt > 0 {
			if err := backoff.Sleep(ctx); err != nil {
				return nil, err
			}
		}
		f, version, err := w.read(ctx)
		if err != nil {
			return nil, err
		}
		next, err := change(f)
		if err != nil {
			return nil, err
		}
		if next == f {
			w.view.applyFleet(f)
			return f, nil
		}
		next, err = fleet.NextWrite(next, f.GetTerm(), f.GetController(), uuid.NewString())
		if err != nil {
			return nil, err
		}
		last = w.swap(ctx, version, next)
		if last == nil {
			return next, nil
		}
		if !store.Conflict.Has(last) {
			return nil, last
		}
	}
	return nil, last
}

// swap writes next, as fleet.NextWrite made it, over the given version. A lost answer is resolved by reading the write's identity back.
func (w *writer) swap(ctx context.Context, version uint64, next *pb.Fleet) error {
	data, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	_, err = w.kv.CompareAndSwap(ctx, keyFleet, version, data)
	if store.Unknown.Has(err) {
		err = w.resolve(ctx, next.GetWriteId(), err)
	}
	if err != nil {
		return err
	}
	w.view.heardStore(time.Now())
	w.view.applyFleet(next)
	return nil
}

// resolve finds out whether a write whose answer was lost took effect. If another write followed it, the caller decides
// anew on the newest fleet, which is safe because changes are idempotent.
func (w *writer) resolve(ctx context.Context, writeID string, lost error) error {
	f, _, err := w.read(ctx)
	if err != nil {
		return lost
	}
	if f.GetWriteId() == writeID {
		return nil
	}
	return store.Conflict.New("write %s was not found after its answer was lost", writeID)
}

// errCorrupt is a value of the store that cannot be read.
var errCorrupt = errs.Class("the store holds a value that is not ours; restore it or point [store] prefix elsewhere")

// newWriter returns a writer over the store.
func newWriter(kv store.KV, v *view) *writer { return &writer{kv: kv, view: v} }
