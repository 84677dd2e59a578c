// Package fleetstore reads, follows and changes the fleet and the configuration in the store.
package fleetstore

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/store"
)

// Keys of the store.
const (
	KeyFleet      = "fleet"
	KeyConfig     = "config"
	KeyController = "controller"
)

const (
	// maxSwapAttempts bounds the compare-and-swaps of one change.
	maxSwapAttempts = 8
)

// Writer changes the fleet value by compare-and-swap. It is safe for concurrent use.
type Writer struct {
	kv   store.KV
	view *view.View
}

// NewWriter returns a writer over the store.
func NewWriter(kv store.KV, v *view.View) *Writer { return &Writer{kv: kv, view: v} }

// Change returns the changed fleet, or its argument if there is nothing to change. It must not modify its argument, and
// it must be idempotent: after a lost answer it may be called again with a fleet that already contains the change.
type Change func(f *pb.Fleet) (*pb.Fleet, error)

// Read returns the fleet in the store and its version.
func (w *Writer) Read(ctx context.Context) (*pb.Fleet, uint64, error) {
	value, err := store.GetWithRetry(ctx, w.kv, KeyFleet)
	if err != nil {
		return nil, 0, err
	}
	w.view.RecordStoreAnswer(time.Now())
	f := &pb.Fleet{}
	if err := proto.Unmarshal(value.Data, f); err != nil {
		return nil, 0, ErrCorrupt.New("key %q: %v", KeyFleet, err)
	}
	return f, value.Version, nil
}

// Update applies the change to the newest fleet, retrying after each conflict, and returns the fleet that contains it.
func (w *Writer) Update(ctx context.Context, change Change) (*pb.Fleet, error) {
	var lastErr error
	backoff := store.DefaultBackoff()
	for attempt := range maxSwapAttempts {
		if attempt > 0 {
			if err := backoff.Sleep(ctx); err != nil {
				return nil, err
			}
		}
		f, version, err := w.Read(ctx)
		if err != nil {
			return nil, err
		}
		next, err := change(f)
		if err != nil {
			return nil, err
		}
		if next == f {
			w.view.ApplyFleet(f)
			return f, nil
		}
		next, err = fleet.NextWrite(next, f.GetTerm(), f.GetController(), uuid.NewString())
		if err != nil {
			return nil, err
		}
		lastErr = w.Swap(ctx, version, next)
		if lastErr == nil {
			return next, nil
		}
		if !store.Conflict.Has(lastErr) {
			return nil, lastErr
		}
	}
	return nil, lastErr
}

// Swap writes next, as fleet.NextWrite made it, over the given version. After a lost answer it reads the write's ID
// back.
func (w *Writer) Swap(ctx context.Context, version uint64, next *pb.Fleet) error {
	data, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	_, err = w.kv.CompareAndSwap(ctx, KeyFleet, version, data)
	if store.Unknown.Has(err) {
		err = w.resolve(ctx, next.GetWriteId(), err)
	}
	if err != nil {
		return err
	}
	w.view.RecordStoreAnswer(time.Now())
	w.view.ApplyFleet(next)
	return nil
}

// resolve determines whether a write whose answer was lost took effect. If another write followed it, the caller
// decides again on the newest fleet, which is safe because changes are idempotent.
func (w *Writer) resolve(ctx context.Context, writeID string, lost error) error {
	f, _, err := w.Read(ctx)
	if err != nil {
		return lost
	}
	if f.GetWriteId() == writeID {
		return nil
	}
	return store.Conflict.New("write %s was not found after its answer was lost", writeID)
}

// ErrCorrupt is the class of errors for a value of the store that cannot be decoded.
var ErrCorrupt = errs.Class("the store holds a value that cannot be decoded; restore it or set another [store] prefix")
