package idempotency_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/idempotency"
	"google.golang.org/protobuf/proto"
)

var limits = idempotency.Limits{MaxKeys: 100, Window: 2 * time.Minute, MaxDelay: 20 * time.Second, ClockSkew: 2 * time.Second}

// ownerOf is rendezvous hashing by name.
func ownerOf(key string, set *pb.OwnerSet) (*pb.Owner, bool) {
	var best *pb.Owner
	var bestWeight uint64
	for _, owner := range set.GetOwners() {
		h := fnv.New64a()
		_, _ = io.WriteString(h, key)
		_, _ = io.WriteString(h, owner.GetName())
		if weight := h.Sum64() * 0x9e3779b97f4a7c15; best == nil || weight > bestWeight {
			best, bestWeight = owner, weight
		}
	}
	return best, best != nil
}

// keyStore is the system under test: an Owner or a simplified version of it.
type keyStore interface {
	SetFleet(now time.Time, f *pb.Fleet)
	Claim(now time.Time, req *pb.ClaimRequest) *pb.ClaimResponse
	Finish(now time.Time, req *pb.FinishRequest)
}

// protocol is a way to ensure that keys run at most once.
type protocol struct {
	newStore func(self *pb.Owner) keyStore
	locate   func(h *process, key string) (*pb.Owner, bool)
	barrier  bool
}

// process is one incarnation of an entry host.
type process struct {
	self    *pb.Owner
	store   keyStore
	view    *pb.Fleet
	skew    time.Duration
	paused  bool
	dead    bool
	pauses  int // number of times it was paused
	inbox   []func()
	granted []*attempt
}

// attempt is one request of a caller with a key through an entry host.
type attempt struct {
	id, key string
	by      *process
	began   time.Time
	pauses  int  // by.pauses when it began
	ended   bool // it has run or never will
	notRun  bool // reported to the caller as not run
	ran     bool
}

// key is an idempotency key with the time of its first use.
type key struct {
	name    string
	hasTime bool
	first   time.Time
}

// simulation runs a deployment through a generated history.
type simulation struct {
	protocol     protocol
	choose       func(n int) int
	now          time.Time
	fleet        *pb.Fleet
	current      map[string]*process // the process that listens at each name's address
	all          []*process          // all processes, including replaced ones
	keys         []*key
	attempts     []*attempt
	network      []func() // messages in flight
	incarnations int
}

var names = []string{"e1", "e2", "e3", "e4"}

func newSimulation(d protocol, choose func(n int) int) *simulation {
	s := &simulation{
		protocol: d, choose: choose, now: time.Unix(1_800_000_000, 0),
		fleet: &pb.Fleet{}, current: map[string]*process{},
	}
	for _, name := range names {
		s.start(name)
	}
	s.changeOwners()
	s.settleOwners()
	return s
}

// start starts a new incarnation of a name. The previous one then counts as proved gone, although it may only be
// paused.
func (s *simulation) start(name string) {
	s.incarnations++
	self := &pb.Owner{Name: name, Incarnation: fmt.Sprint(s.incarnations)}
	p := &process{self: self, store: s.protocol.newStore(self), skew: time.Duration(s.choose(2001)-1000) * time.Millisecond}
	s.current[name] = p
	s.all = append(s.all, p)
	s.write(func(f *pb.Fleet) {
		f.Members = slices.DeleteFunc(f.Members, func(m *pb.Member) bool { return m.GetName() == name })
		f.Members = append(f.Members, &pb.Member{Name: name, Incarnation: self.GetIncarnation()})
	})
	s.apply(p)
}

func (s *simulation) write(change func(f *pb.Fleet)) {
	s.fleet = proto.CloneOf(s.fleet)
	s.fleet.Revision++
	change(s.fleet)
}

// apply lets a process apply the newest fleet.
func (s *simulation) apply(p *process) {
	if p.dead || p.paused {
		return
	}
	p.view = s.fleet
	p.store.SetFleet(s.clock(p), s.fleet)
}

func (s *simulation) clock(p *process) time.Time { return s.now.Add(p.skew) }

// changeOwners announces a random set of members as the next owners, or makes it the owners immediately if the protocol
// has no barrier.
func (s *simulation) changeOwners() {
	if len(s.fleet.GetNextOwners().GetOwners()) > 0 {
		return
	}
	next := &pb.OwnerSet{}
	for i, m := range s.fleet.GetMembers() {
		if i == 0 || s.choose(4) > 0 {
			next.Owners = append(next.Owners, &pb.Owner{Name: m.GetName(), Incarnation: m.GetIncarnation()})
		}
	}
	slices.SortFunc(next.Owners, func(a, b *pb.Owner) int { return cmp.Compare(a.GetName(), b.GetName()) })
	s.write(func(f *pb.Fleet) {
		if !s.protocol.barrier {
			f.Owners = next
			return
		}
		f.NextOwners = next
		f.SettleRevision = f.GetRevision()
	})
}

// settleOwners makes the next owners the owners once every member has applied their announcement.
func (s *simulation) settleOwners() {
	if len(s.fleet.GetNextOwners().GetOwners()) == 0 {
		return
	}
	for _, m := range s.fleet.GetMembers() {
		p := s.current[m.GetName()]
		if !p.dead {
			s.apply(p)
		}
		if p.view.GetRevision() < s.fleet.GetSettleRevision() {
			return
		}
	}
	s.write(func(f *pb.Fleet) {
		f.PreviousOwners = f.GetOwners()
		f.Owners = f.GetNextOwners()
		f.NextOwners = nil
	})
}

// deliver delivers a message to the process at a name's address: now, when it resumes if it is paused, or never if it
// is dead.
func (s *simulation) deliver(name string, message func(p *process)) {
	p := s.current[name]
	switch {
	case p.dead:
	case p.paused:
		p.inbox = append(p.inbox, func() { message(p) })
	default:
		message(p)
	}
}

// send sends a request with a key through an entry host.
func (s *simulation) send(k *key, p *process) {
	if p.dead || p.paused || !k.hasTime && !k.first.IsZero() && s.now.Sub(k.first) >= limits.Window {
		return
	}
	if k.first.IsZero() {
		k.first = s.now
	}
	a := &attempt{id: fmt.Sprint(len(s.attempts)), key: k.name, by: p, began: s.now, pauses: p.pauses}
	s.attempts = append(s.attempts, a)
	owner, closed := s.protocol.locate(p, k.name)
	if closed {
		a.ended, a.notRun = true, true
		return
	}
	request := &pb.ClaimRequest{
		Service: "s", Key: k.name, Attempt: a.id, Member: p.self.GetName(), Incarnation: p.self.GetIncarnation(),
	}
	s.network = append(s.network, func() {
		s.deliver(owner.GetName(), func(o *process) {
			response := o.store.Claim(s.clock(o), request)
			s.network = append(s.network, func() { s.claimed(a, response) })
		})
	})
}

// claimed handles the answer to a claim.
func (s *simulation) claimed(a *attempt, response *pb.ClaimResponse) {
	if a.ended || a.by.dead || a.by.paused {
		return
	}
	if limits.TooLate(s.now, a.began) {
		s.abandon(a)
		return
	}
	switch response.GetVerdict() {
	case pb.ClaimVerdict_CLAIM_VERDICT_GRANTED:
		if !slices.Contains(a.by.granted, a) {
			a.by.granted = append(a.by.granted, a)
		}
	case pb.ClaimVerdict_CLAIM_VERDICT_NOT_OWNER, pb.ClaimVerdict_CLAIM_VERDICT_FULL:
		a.ended, a.notRun = true, true
	default:
		a.ended = true
	}
}

// run runs a granted attempt, unless the process was paused since the attempt began, and reports the outcome to the
// owner.
func (s *simulation) run(a *attempt) {
	if a.ended || a.by.dead || a.by.paused {
		return
	}
	a.ended = true
	kind := pb.OutcomeKind_OUTCOME_KIND_NOT_RUN
	if a.pauses == a.by.pauses && s.choose(4) > 0 {
		a.ran = true
		kind = pb.OutcomeKind_OUTCOME_KIND_DONE + pb.OutcomeKind(2*s.choose(2)) // done or unknown
	}
	s.finish(a, kind)
}

// abandon ends an attempt whose claim was not answered in time.
func (s *simulation) abandon(a *attempt) {
	if a.ended || a.by.dead || a.by.paused {
		return
	}
	a.ended = true
	s.finish(a, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
}

func (s *simulation) finish(a *attempt, kind pb.OutcomeKind) {
	a.notRun = kind == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN
	owner, _ := s.protocol.locate(a.by, a.key)
	request := &pb.FinishRequest{Service: "s", Key: a.key, Attempt: a.id, Outcome: &pb.Outcome{Kind: kind, Status: 200}}
	s.network = append(s.network, func() {
		s.deliver(owner.GetName(), func(o *process) { o.store.Finish(s.clock(o), request) })
	})
}
