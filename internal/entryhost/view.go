package entryhost

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

// fleetApplier takes over a fleet, whose members include the guests. It returns only when nothing that the fleet forbids will be started any more.
type fleetApplier interface {
	applyFleet(f *pb.Fleet, cfg *pb.Configuration)
}

// view is what this entry host knows and acts on: the applied fleet and the configuration in force.
// It only goes forward. It is safe for concurrent use.
type view struct {
	self *pb.Member
	gate *fleet.Gate

	// applying serialises whole applications, so that every applier sees revisions in order.
	applying sync.Mutex
	appliers []fleetApplier
	// applied is the newest revision that the gate and every applier have taken over.
	applied atomic.Uint64

	// guests and pauseLimit say who counts as a member besides those that the fleet shows; applying guards them.
	guests     guestBook
	pauseLimit time.Duration

	// storeFailing is set while the follower cannot read the store.
	storeFailing atomic.Bool

	mu     sync.Mutex
	stager *config.Stager
	// storeHeard is when the store last answered; zero for never.
	storeHeard  time.Time
	subscribers []*ring.Ring[struct{}]
}

func newView(self *pb.Member, inForceBound, pauseLimit time.Duration) *view {
	return &view{
		self:       self,
		gate:       fleet.NewGate(),
		stager:     config.NewStager(inForceBound),
		guests:     guestBook{},
		pauseLimit: pauseLimit,
	}
}

// onFleet adds an applier. Call it before the duties start.
func (v *view) onFleet(a fleetApplier) { v.appliers = append(v.appliers, a) }

// subscribe returns a ring that gets a signal after each change. Call it before the duties start.
func (v *view) subscribe(name string) *ring.Ring[struct{}] {
	r := ring.New[struct{}](name, 1)
	v.subscribers = append(v.subscribers, r)
	return r
}

func (v *view) notify() {
	for _, r := range v.subscribers {
		r.Offer(struct{}{}) // a full ring already holds a signal
	}
}

// applyFleet moves to a newer fleet; an older one changes nothing.
//
// The gate goes first: from then on no request starts on a host that the fleet forbids. Only when every applier has
// followed may the revision be reported to the controller.
func (v *view) applyFleet(f *pb.Fleet) {
	v.applying.Lock()
	defer v.applying.Unlock()
	before := v.gate.Fleet()
	if before == nil && !fleet.HasMember(f, v.self) && !v.guests.holds(v.self) {
		return // a process that nobody asks for its release serves by no fleet
	}
	if !v.gate.Apply(f) {
		return
	}
	v.tellGone(before, f)
	v.guests.prune(f)
	v.runAppliers()
	v.applied.Store(f.GetRevision())
	v.notify()
}

// tellGone lets the acceptance state machine know which incarnations the fleet no longer holds.
func (v *view) tellGone(before, after *pb.Fleet) {
	present := lo.SliceToMap(after.GetMembers(), func(m *pb.Member) (string, bool) { return fleet.Identity(m), true })
	v.withStager(func(st *config.Stager) {
		for _, m := range before.GetMembers() {
			if !present[fleet.Identity(m)] {
				st.Gone(time.Now(), fleet.Identity(m))
			}
		}
	})
}

// applyConfig puts a newer configuration in force and reports whether it was newer.
func (v *view) applyConfig(now time.Time, cfg *pb.Configuration) bool {
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
func (v *view) runAppliers() {
	cfg := v.config()
	extended := v.guests.extend(time.Now().Add(-v.pauseLimit), v.gate.Fleet())
	for _, a := range v.appliers {
		a.applyFleet(extended, cfg)
	}
}

// addGuests lets entry hosts that joined through a peer borrow slots and claim keys.
func (v *view) addGuests(guests ...*pb.Member) {
	if len(guests) == 0 {
		return
	}
	v.applying.Lock()
	defer v.applying.Unlock()
	added := false
	for _, g := range guests {
		added = v.guests.add(time.Now(), v.gate.Fleet(), g) || added
	}
	if added {
		v.runAppliers()
		v.notify()
	}
}

// refreshGuests drops the predecessors of guests that have been known for the pause limit.
func (v *view) refreshGuests() {
	v.applying.Lock()
	defer v.applying.Unlock()
	if v.guests.matured(time.Now().Add(-v.pauseLimit)) {
		v.runAppliers()
	}
}

// members are the fleet's members and the guests, by what this entry host knows.
func (v *view) members() []*pb.Member {
	v.applying.Lock()
	defer v.applying.Unlock()
	return append(append([]*pb.Member{}, v.gate.Fleet().GetMembers()...), v.guests.members()...)
}

// appliedRevision is the newest revision that everything in this process obeys.
func (v *view) appliedRevision() uint64 { return v.applied.Load() }

// fleet is the newest fleet known; nil before the first.
func (v *view) fleet() *pb.Fleet { return v.gate.Fleet() }

// config is the configuration in force; nil before the first.
func (v *view) config() *pb.Configuration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stager.Current()
}

// withStager runs f with the acceptance state machine.
func (v *view) withStager(f func(*config.Stager)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(v.stager)
}

// heardStore records that the store answered.
func (v *view) heardStore(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.storeHeard = now
}

// storeAge is the time since the store last answered.
func (v *view) storeAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.storeHeard.IsZero() {
		return now.Sub(time.Time{})
	}
	return now.Sub(v.storeHeard)
}
