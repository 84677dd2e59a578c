// Package view is what an entry host knows and acts on: the applied fleet, the configuration in force, and the guests.
package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/config"
	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/ring"
)

// Applier takes over a fleet, whose members include the guests.
type Applier interface {
	// ApplyFleet returns only when nothing that the fleet forbids will be started any more.
	ApplyFleet(f *pb.Fleet, cfg *pb.Configuration)
}

// View is what this entry host knows and acts on: the applied fleet and the configuration in force.
// It only goes forward. It is safe for concurrent use.
type View struct {
	self *pb.Member
	Gate *fleet.Gate

	// applying serialises whole applications, so that every applier sees revisions in order.
	applying sync.Mutex
	appliers []Applier
	// applied is the newest revision that the gate and every applier have taken over.
	applied atomic.Uint64

	// guests and pauseLimit say who counts as a member besides those that the fleet shows; applying guards them.
	guests     GuestBook
	pauseLimit time.Duration

	// storeFailing is set while the follower cannot read the store.
	storeFailing atomic.Bool

	mu     sync.Mutex
	stager *config.Stager
	// storeHeard is when the store last answered; zero for never.
	storeHeard  time.Time
	subscribers []*ring.Ring[struct{}]
}

// New returns a view that knows nothing yet. The bounds are those of a staged configuration in doubt and of a pause.
func New(self *pb.Member, inForceBound, pauseLimit time.Duration) *View {
	return &View{
		self:       self,
		Gate:       fleet.NewGate(),
		stager:     config.NewStager(inForceBound),
		guests:     GuestBook{},
		pauseLimit: pauseLimit,
	}
}

// OnFleet adds an applier. Call it before the duties start.
func (v *View) OnFleet(a Applier) { v.appliers = append(v.appliers, a) }

// Subscribe returns a ring that gets a signal after each change. Call it before the duties start.
func (v *View) Subscribe(name string) *ring.Ring[struct{}] {
	r := ring.New[struct{}](name, 1)
	v.subscribers = append(v.subscribers, r)
	return r
}

func (v *View) notify() {
	for _, r := range v.subscribers {
		r.Offer(struct{}{}) // a full ring already holds a signal
	}
}

// ApplyFleet moves to a newer fleet; an older one changes nothing.
//
// The gate goes first: from then on no request starts on a host that the fleet forbids. Only when every applier has
// followed may the revision be reported to the controller.
func (v *View) ApplyFleet(f *pb.Fleet) {
	v.applying.Lock()
	defer v.applying.Unlock()
	before := v.Gate.Fleet()
	if before == nil && !fleet.HasMember(f, v.self) && !v.guests.holds(v.self) {
		return // a process that nobody asks for its release serves by no fleet
	}
	if !v.Gate.Apply(f) {
		return
	}
	v.tellGone(before, f)
	v.guests.Prune(f)
	v.runAppliers()
	v.applied.Store(f.GetRevision())
	v.notify()
}

// tellGone lets the acceptance state machine know which incarnations the fleet no longer holds.
func (v *View) tellGone(before, after *pb.Fleet) {
	present := lo.SliceToMap(after.GetMembers(), func(m *pb.Member) (string, bool) { return fleet.Identity(m), true })
	v.WithStager(func(st *config.Stager) {
		for _, m := range before.GetMembers() {
			if !present[fleet.Identity(m)] {
				st.Gone(time.Now(), fleet.Identity(m))
			}
		}
	})
}

// ApplyConfig puts a newer configuration in force and reports whether it was newer.
func (v *View) ApplyConfig(now time.Time, cfg *pb.Configuration) bool {
	v.applying.Lock()
	defer v.applying.Unlock()
	v.mu.Lock()
	accepted := v.stager.Accept(now, cfg)
	v.mu.Unlock()
	if !accepted {
		return false
	}
	v.runAppliers()
	v.notify()
	return true
}

// runAppliers hands the fleet, guests included, to every applier. The caller holds applying.
func (v *View) runAppliers() {
	cfg := v.Config()
	extended := v.guests.extend(time.Now().Add(-v.pauseLimit), v.Gate.Fleet())
	for _, a := range v.appliers {
		a.ApplyFleet(extended, cfg)
	}
}

// AddGuests lets entry hosts that joined through a peer borrow slots and claim keys.
func (v *View) AddGuests(guests ...*pb.Member) {
	if len(guests) == 0 {
		return
	}
	v.applying.Lock()
	defer v.applying.Unlock()
	added := false
	for _, g := range guests {
		added = v.guests.Add(time.Now(), v.Gate.Fleet(), g) || added
	}
	if added {
		v.runAppliers()
		v.notify()
	}
}

// RefreshGuests drops the predecessors of guests that have been known for the pause limit.
func (v *View) RefreshGuests() {
	v.applying.Lock()
	defer v.applying.Unlock()
	if v.guests.matured(time.Now().Add(-v.pauseLimit)) {
		v.runAppliers()
	}
}

// Members are the fleet's members and the guests, by what this entry host knows.
func (v *View) Members() []*pb.Member {
	v.applying.Lock()
	defer v.applying.Unlock()
	return append(append([]*pb.Member{}, v.Gate.Fleet().GetMembers()...), v.guests.Members()...)
}

// AppliedRevision is the newest revision that everything in this process obeys.
func (v *View) AppliedRevision() uint64 { return v.applied.Load() }

// Fleet is the newest fleet known; nil before the first.
func (v *View) Fleet() *pb.Fleet { return v.Gate.Fleet() }

// Config is the configuration in force; nil before the first.
func (v *View) Config() *pb.Configuration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stager.Current()
}

// WithStager runs f with the acceptance state machine.
func (v *View) WithStager(f func(*config.Stager)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(v.stager)
}

// HeardStore records that the store answered.
func (v *View) HeardStore(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.storeHeard = now
}

// StoreAge is the time since the store last answered.
func (v *View) StoreAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.storeHeard.IsZero() {
		return now.Sub(time.Time{})
	}
	return now.Sub(v.storeHeard)
}

// SetStoreFailing records whether the store can be read.
func (v *View) SetStoreFailing(failing bool) { v.storeFailing.Store(failing) }

// StoreFailing reports whether the store could not be read at the last try.
func (v *View) StoreFailing() bool { return v.storeFailing.Load() }
