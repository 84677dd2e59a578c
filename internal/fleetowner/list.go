package fleetowner

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/wait"
)

const (
	listTimeout = 2 * time.Second
	// listBusy and listIdle are the times between lists of machines.
	listBusy = 300 * time.Millisecond
	listIdle = 2 * time.Second
	// listCheck is how often the idle lister looks whether it became busy.
	listCheck = 100 * time.Millisecond
)

// list brings lists of machines to the loop.
func (t *term) list(ctx context.Context) error {
	for {
		if err := t.reads.wait(ctx); err != nil {
			return err
		}
		sent := t.Clock()
		if err := t.listOnce(ctx, sent); err != nil {
			return err
		}
		for t.listWait(sent) > 0 {
			if err := wait.For(ctx, min(listCheck, t.listWait(sent))); err != nil {
				return err
			}
		}
	}
}

func (t *term) listWait(sent time.Time) time.Duration {
	interval := listIdle
	if t.busy.Load() {
		interval = listBusy
	}
	return interval - t.Clock().Sub(sent)
}

func (t *term) listOnce(ctx context.Context, sent time.Time) error {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	machines, err := t.Machines.List(call)
	if err != nil {
		t.Logger.Debug("machines not listed", "error", err)
		return ctx.Err()
	}
	return t.tell(ctx, func(time.Time) {
		t.machines = machines
		t.listedAt = sent
	})
}
