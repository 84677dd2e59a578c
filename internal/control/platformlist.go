package control

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/controller"
	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/hostlist"
	"github.com/agateturn/agateturn/internal/view"
	"github.com/agateturn/agateturn/wait"
)

// shunner stops sending new work to hosts.
type shunner interface {
	Shun(ctx context.Context, hosts []string)
}

// PlatformList holds the newest host list of the platform. The list lags, so that what is known first-hand takes
// precedence. It is safe for concurrent use.
type PlatformList struct {
	client *hostlist.Client
	period time.Duration
	view   *view.View
	// work is notified of leaving hosts.
	work   shunner
	logger *slog.Logger

	// isController is set while this entry host is the controller. Other entry hosts learn of leaving hosts from the fleet
	// record or from heartbeats. Those that detect that the store is down read the list themselves.
	isController atomic.Bool

	mu    sync.Mutex
	hosts []controller.PlatformHost
}

// ListOptions are the settings and dependencies of a PlatformList.
type ListOptions struct {
	View   *view.View
	Work   shunner
	Client *hostlist.Client
	Period time.Duration
	Logger *slog.Logger
}

// NewPlatformList returns a PlatformList; Run reads the list.
func NewPlatformList(o ListOptions) *PlatformList {
	return &PlatformList{
		view:   o.View,
		work:   o.Work,
		client: o.Client,
		period: o.Period,
		logger: o.Logger,
	}
}

// Run reads the list periodically until ctx ends, while this entry host is the controller or the store fails.
func (l *PlatformList) Run(ctx context.Context) {
	failing := false
	for ; ctx.Err() == nil; _ = wait.For(ctx, l.period) {
		if !l.isController.Load() && !l.view.StoreFailing() {
			l.drop()
			l.work.Shun(ctx, nil)
			continue
		}
		hosts, err := l.client.Hosts(ctx)
		switch {
		case err != nil && !failing:
			events.Emit(ctx, l.logger, events.PlatformUnreachable, "err", err)
		case err == nil && failing:
			events.Emit(ctx, l.logger, events.PlatformBack)
		}
		failing = err != nil
		if !failing {
			l.update(hosts, time.Now())
			l.work.Shun(ctx, leavingHosts(hosts))
		}
	}
}

// drop discards the list, since it would be outdated by the time it is needed again.
func (l *PlatformList) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = nil
}

func leavingHosts(hosts []hostlist.Host) []string {
	return lo.FilterMap(hosts, func(h hostlist.Host, _ int) (string, bool) {
		return h.Name, h.Role == hostlist.RoleWorker && h.State != hostlist.StateLive
	})
}

// update replaces the list. An entry keeps the time at which it was first seen in its state.
func (l *PlatformList) update(hosts []hostlist.Host, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := map[controller.PlatformHost]time.Time{}
	for _, h := range l.hosts {
		key := h
		key.SeenAt = time.Time{}
		seen[key] = h.SeenAt
	}
	next := make([]controller.PlatformHost, 0, len(hosts))
	for _, h := range hosts {
		entry := controller.PlatformHost{
			Name:        h.Name,
			Role:        roleOf(h.Role),
			State:       stateOf(h.State),
			BootID:      h.BootID,
			Incarnation: h.Incarnation,
		}
		first, known := seen[entry]
		if !known {
			first = now
		}
		entry.SeenAt = first
		next = append(next, entry)
	}
	l.hosts = next
}

func roleOf(r hostlist.Role) controller.Role {
	if r == hostlist.RoleEntry {
		return controller.RoleEntryHost
	}
	return controller.RoleWorker
}

func stateOf(s hostlist.State) controller.State {
	switch s {
	case hostlist.StateLeaving:
		return controller.StateLeaving
	case hostlist.StateGone:
		return controller.StateGone
	default:
		return controller.StateLive
	}
}

// Snapshot returns the newest list. It is empty while the list is not read.
func (l *PlatformList) Snapshot() []controller.PlatformHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]controller.PlatformHost(nil), l.hosts...)
}
