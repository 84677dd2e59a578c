package fleetowner_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/upkeep"
)

// fakeStore keeps items in memory. Watches poll every few milliseconds.
type fakeStore struct {
	store.Transactor
	mu       sync.Mutex
	items    map[string]store.Item
	revision uint64
	down     bool
	// loseAnswers drops the answers of commits, which take effect.
	loseAnswers bool
}

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]store.Item{}, revision: 10} }

func (s *fakeStore) set(key, data string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = store.Item{Key: key, Data: []byte(data), Version: s.revision}
	return s.revision
}

// waveStatus returns the status of wave 3 as operators read it.
func (s *fakeStore) waveStatus() string { return s.data("status/3") }

func (s *fakeStore) data(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Data)
}

func (s *fakeStore) Get(_ context.Context, key string) (store.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Item{}, store.Unavailable.New("down")
	}
	return s.items[key], nil
}

func (s *fakeStore) Range(_ context.Context, prefix string, _ bool) ([]store.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, s.items[key])
		}
	}
	return out, s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	for end := time.Now().Add(wait); time.Now().Before(end); {
		items, asOf, _ := s.Range(ctx, prefix, false)
		var events []store.Event
		for _, item := range items {
			if item.Version > after {
				events = append(events, store.Event{Item: item})
			}
		}
		if len(events) > 0 {
			return events, asOf, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, store.Unavailable.Wrap(ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil, after, nil
}

func (s *fakeStore) Commit(_ context.Context, t store.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, store.Unavailable.New("down")
	}
	conflict := &store.ConflictError{}
	failed := false
	for _, c := range t.Conditions {
		item := s.items[c.Key]
		item.Key = c.Key
		conflict.Items = append(conflict.Items, item)
		failed = failed || item.Version != c.Version
	}
	if failed {
		return 0, conflict
	}
	s.revision++
	for _, p := range t.Puts {
		s.items[p.Key] = store.Item{Key: p.Key, Data: p.Data, Version: s.revision}
	}
	if s.loseAnswers {
		return 0, store.Unknown.New("lost")
	}
	return s.revision, nil
}

// fakeHosts is the host service. It checks the fencing token for each host.
type fakeHosts struct {
	mu            sync.Mutex
	hosts         map[string]*fakeHost
	limit         int
	capViolations []string
	orders        int
	// unanswered makes orders have no effect and get no answer.
	unanswered bool
}

type fakeHost struct {
	upkeep.Host
	fence       uint64
	done        bool
	upAt        time.Time
	incarnation int
}

func newFakeHosts(pool string, count, limit int) *fakeHosts {
	f := &fakeHosts{hosts: map[string]*fakeHost{}, limit: limit}
	for n := range count {
		f.add(pool, fmt.Sprintf("m%02d", n))
	}
	return f
}

func (f *fakeHosts) add(pool, id string) *fakeHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &fakeHost{}
	m.Host = upkeep.Host{ID: id, Pool: pool, State: upkeep.Up, Worker: id + "/0", CPUMilli: 1000}
	f.hosts[id] = m
	return m
}

func (f *fakeHosts) refresh() (down int) {
	for _, m := range f.hosts {
		if m.State == upkeep.Upkeep && !time.Now().Before(m.upAt) {
			m.State = upkeep.Up
			m.incarnation++
			m.Worker = fmt.Sprintf("%s/%d", m.ID, m.incarnation)
		}
		if m.State == upkeep.Upkeep {
			down++
		}
	}
	return down
}

func (f *fakeHosts) List(context.Context) ([]upkeep.Host, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	var out []upkeep.Host
	for _, id := range slices.Sorted(maps.Keys(f.hosts)) {
		out = append(out, f.hosts[id].Host)
	}
	return out, nil
}

func (f *fakeHosts) Move(context.Context, string, string, string, uint64) upkeep.Result {
	return upkeep.Unfit
}

func (f *fakeHosts) Upkeep(_ context.Context, host string, _ int64, _ string, fence uint64) upkeep.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	down := f.refresh()
	f.orders++
	m := f.hosts[host]
	switch {
	case f.unanswered:
		return upkeep.Unknown
	case fence < m.fence:
		return upkeep.Fenced
	case m.done:
		return upkeep.Done
	case m.State != upkeep.Up:
		return upkeep.Busy
	}
	m.fence = fence
	m.done = true
	m.State = upkeep.Upkeep
	m.upAt = time.Now().Add(2 * time.Second)
	if down >= f.limit {
		f.capViolations = append(f.capViolations, host)
	}
	return upkeep.Done
}

func (f *fakeHosts) count(of func(*fakeHost) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.hosts {
		if of(m) {
			n++
		}
	}
	return n
}

// fakePools evacuates workers within one poll.
type fakePools struct {
	hosts *fakeHosts
	fence atomic.Uint64
	mu    sync.Mutex
	lists [][]string
}

func (f *fakePools) resetLists() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists = nil
}

// firstList returns the first list since resetLists.
func (f *fakePools) firstList() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists[0]
}

func (f *fakePools) Status(ctx context.Context, r *pb.PoolStatusRequest) (*pb.PoolStatusResponse, error) {
	f.mu.Lock()
	f.lists = append(f.lists, r.GetEvacuate())
	f.mu.Unlock()
	hosts, err := f.hosts.List(ctx)
	out := &pb.PoolStatusResponse{Owner: true, Fence: f.fence.Load()}
	for _, m := range hosts {
		evacuated := slices.Contains(r.GetEvacuate(), m.Worker)
		out.Workers = append(out.Workers, &pb.WorkerLoad{Id: m.Worker, Evacuated: evacuated})
	}
	return out, err
}
