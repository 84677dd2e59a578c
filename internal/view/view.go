// Package view holds the state that an entry host acts on: the applied fleet, the configuration in force, and the guests.
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

// Applier applies a fleet whose members include the guests.
type Applier interface {
	// ApplyFleet returns only when nothing that the fleet forbids can be started.
	ApplyFleet(f *pb.Fleet, cfg *pb.Configuration)
}

// View is the state that this entry host acts on: the applied fleet and the configuration in force. Neither is ever
// replaced by an older version. View is safe for concurrent use.
type View struct {
	self *pb.Member
	Gate *fleet.Gate

	// applying serialises the applications of fleets and configurations, so that every applier gets revisions in order.
	applying sync.Mutex
	appliers []Applier
	// applied is the newest revision that the gate and every applier have applied.
	applied atomic.Uint64

	// guests count as members besides those that the fleet lists. After pauseLimit a guest excludes its predecessor.
	// applying guards guests.
	guests     GuestBook
	pauseLimit time.Duration

	// storeFailing is set while the goroutine that follows the fleet record cannot read the store.
	storeFailing atomic.Bool

	mu     sync.Mutex
	stager *config.Stager
	// lastAnswer is when the store last answered; zero if it never did.
	lastAnswer  time.Time
	subscribers []*ring.Ring[struct{}]
}

// New returns an empty view. inForceBound is passed to config.NewStager. pauseLimit is the age from which a guest excludes
// its predecessor from the members.
func New(self *pb.Member, inForceBound, pauseLimit time.Duration) *View {
	return &View{
		self:       self,
		Gate:       fleet.NewGate(),
		stager:     config.NewStager(inForceBound),
		guests:     GuestBook{},
		pauseLimit: pauseLimit,
	}
}

// OnFleet adds an applier. It must be called before the goroutines that use the view start.
func (v *View) OnFleet(a Applier) { v.appliers = append(v.appliers, a) }

// Subscribe returns a ring that receives a signal after each change. It must be called before the goroutines that use the
// view start.
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

// ApplyFleet applies a newer fleet and ignores an older one. It also ignores the first fleet if this entry host is neither
// a member of it nor a guest.
//
// The gate is updated first: from then on no request starts on a host that the fleet forbids. The revision may be reported
// to the controller only when every applier has applied it.
func (v *View) ApplyFleet(f *pb.Fleet) {
	v.applying.Lock()
	defer v.applying.Unlock()
	before := v.Gate.Fleet()
	if before == nil && !fleet.HasMember(f, v.self) && !v.guests.holds(v.self) {
		return // the controller awaits no release from this process, so it must not serve by this fleet
	}
	if !v.Gate.Apply(f) {
		return
	}
	v.reportRemoved(before, f)
	v.guests.Prune(f)
	v.runAppliers()
	v.applied.Store(f.GetRevision())
	v.notify()
}

// reportRemoved reports to the stager which incarnations the fleet no longer lists.
func (v *View) reportRemoved(before, after *pb.Fleet) {
	present := lo.SliceToMap(after.GetMembers(), func(m *pb.Member) (string, bool) { return fleet.Identity(m), true })
	v.WithStager(func(st *config.Stager) {
		for _, m := range before.GetMembers() {
			if !present[fleet.Identity(m)] {
				st.Gone(time.Now(), fleet.Identity(m))
			}
		}
	})
}

// ApplyConfig puts the configuration in force if it is newer and reports whether it was.
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

// runAppliers passes the fleet, guests included, to every applier. The caller holds applying.
func (v *View) runAppliers() {
	cfg := v.Config()
	extended := v.guests.extend(time.Now().Add(-v.pauseLimit), v.Gate.Fleet())
	for _, a := range v.appliers {
		a.ApplyFleet(extended, cfg)
	}
}

// AddGuests adds entry hosts that joined through a peer, so that they can borrow slots and claim keys.
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

// RefreshGuests excludes the predecessors of guests that were added longer than the pause limit ago.
func (v *View) RefreshGuests() {
	v.applying.Lock()
	defer v.applying.Unlock()
	if v.guests.markMatured(time.Now().Add(-v.pauseLimit)) {
		v.runAppliers()
	}
}

// Members returns the fleet's members, followed by the guests, as far as this entry host knows.
func (v *View) Members() []*pb.Member {
	v.applying.Lock()
	defer v.applying.Unlock()
	return append(append([]*pb.Member{}, v.Gate.Fleet().GetMembers()...), v.guests.Members()...)
}

// AppliedRevision returns the newest fleet revision that the gate and every applier have applied.
func (v *View) AppliedRevision() uint64 { return v.applied.Load() }

// Fleet returns the newest known fleet, or nil before the first.
func (v *View) Fleet() *pb.Fleet { return v.Gate.Fleet() }

// Config returns the configuration in force, or nil before the first.
func (v *View) Config() *pb.Configuration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stager.Current()
}

// WithStager calls f with the stager, which decides on the acceptance of configurations, while holding its lock.
func (v *View) WithStager(f func(*config.Stager)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(v.stager)
}

// RecordStoreAnswer records that the store answered.
func (v *View) RecordStoreAnswer(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastAnswer = now
}

// StoreAge returns the time since the store last answered. It is very long if the store never did.
func (v *View) StoreAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lastAnswer.IsZero() {
		return now.Sub(time.Time{})
	}
	return now.Sub(v.lastAnswer)
}

// SetStoreFailing records whether the store can be read.
func (v *View) SetStoreFailing(failing bool) { v.storeFailing.Store(failing) }

// StoreFailing reports whether the last attempt to read the store failed.
func (v *View) StoreFailing() bool { return v.storeFailing.Load() }
