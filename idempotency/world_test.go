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

// memory is what is under test.
type memory interface {
	SetFleet(now time.Time, f *pb.Fleet)
	Claim(now time.Time, req *pb.ClaimRequest) *pb.ClaimResponse
	Finish(now time.Time, req *pb.FinishRequest)
}

// design is a way to keep keys from running twice.
type design struct {
	newMemory func(self *pb.Owner) memory
	locate    func(h *process, key string) (*pb.Owner, bool)
	barrier   bool
}

// process is one life of an entry host.
type process struct {
	self    *pb.Owner
	memory  memory
	view    *pb.Fleet
	skew    time.Duration
	frozen  bool
	dead    bool
	paused  int // how often it was frozen
	inbox   []func()
	granted []*attempt
}

// attempt is one sending of a key by a caller through an entry host.
type attempt struct {
	id, key string
	by      *process
	began   time.Time
	paused  int  // by.paused when it began
	over    bool // it will not run any more
	notRun  bool // the caller was told so
	ran     bool
}

// key is an idempotency key with its first use.
type key struct {
	name  string
	timed bool
	first time.Time
}

// world is a deployment under a generated history.
type world struct {
	design   design
	choose   func(n int) int
	now      time.Time
	store    *pb.Fleet
	current  map[string]*process // who listens at each name's address
	all      []*process          // every life there was
	keys     []*key
	attempts []*attempt
	network  []func() // messages under way
	lives    int
}

var names = []string{"e1", "e2", "e3", "e4"}

func newWorld(d design, choose func(n int) int) *world {
	w := &world{
		design: d, choose: choose, now: time.Unix(1_800_000_000, 0),
		store: &pb.Fleet{}, current: map[string]*process{},
	}
	for _, name := range names {
		w.start(name)
	}
	w.changeOwners()
	w.settleOwners()
	return w
}

// start begins a new life of a name; an earlier life is thereby proved gone, although it may be frozen only.
func (w *world) start(name string) {
	w.lives++
	self := &pb.Owner{Name: name, Incarnation: fmt.Sprint(w.lives)}
	p := &process{self: self, memory: w.design.newMemory(self), skew: time.Duration(w.choose(2001)-1000) * time.Millisecond}
	w.current[name] = p
	w.all = append(w.all, p)
	w.write(func(f *pb.Fleet) {
		f.Members = slices.DeleteFunc(f.Members, func(m *pb.Member) bool { return m.GetName() == name })
		f.Members = append(f.Members, &pb.Member{Name: name, Incarnation: self.GetIncarnation()})
	})
	w.apply(p)
}

func (w *world) write(change func(f *pb.Fleet)) {
	w.store = proto.CloneOf(w.store)
	w.store.Revision++
	change(w.store)
}

// apply lets a process take the newest fleet.
func (w *world) apply(p *process) {
	if p.dead || p.frozen {
		return
	}
	p.view = w.store
	p.memory.SetFleet(w.clock(p), w.store)
}

func (w *world) clock(p *process) time.Time { return w.now.Add(p.skew) }

// changeOwners proposes a random set of members, or writes it at once without a barrier.
func (w *world) changeOwners() {
	if len(w.store.GetNextOwners().GetOwners()) > 0 {
		return
	}
	next := &pb.OwnerSet{}
	for i, m := range w.store.GetMembers() {
		if i == 0 || w.choose(4) > 0 {
			next.Owners = append(next.Owners, &pb.Owner{Name: m.GetName(), Incarnation: m.GetIncarnation()})
		}
	}
	slices.SortFunc(next.Owners, func(a, b *pb.Owner) int { return cmp.Compare(a.GetName(), b.GetName()) })
	w.write(func(f *pb.Fleet) {
		if !w.design.barrier {
			f.Owners = next
			return
		}
		f.NextOwners = next
		f.SettleRevision = f.GetRevision()
	})
}

// settleOwners writes the second change once every member has applied the first.
func (w *world) settleOwners() {
	if len(w.store.GetNextOwners().GetOwners()) == 0 {
		return
	}
	for _, m := range w.store.GetMembers() {
		p := w.current[m.GetName()]
		if !p.dead {
			w.apply(p)
		}
		if p.view.GetRevision() < w.store.GetSettleRevision() {
			return
		}
	}
	w.write(func(f *pb.Fleet) {
		f.PreviousOwners = f.GetOwners()
		f.Owners = f.GetNextOwners()
		f.NextOwners = nil
	})
}

// deliver brings a message to a name's address now, when the process thaws, or never.
func (w *world) deliver(name string, message func(p *process)) {
	p := w.current[name]
	switch {
	case p.dead:
	case p.frozen:
		p.inbox = append(p.inbox, func() { message(p) })
	default:
		message(p)
	}
}

// send has a caller send a key through an entry host.
func (w *world) send(k *key, p *process) {
	if p.dead || p.frozen || !k.timed && !k.first.IsZero() && w.now.Sub(k.first) >= limits.Window {
		return
	}
	if k.first.IsZero() {
		k.first = w.now
	}
	a := &attempt{id: fmt.Sprint(len(w.attempts)), key: k.name, by: p, began: w.now, paused: p.paused}
	w.attempts = append(w.attempts, a)
	owner, closed := w.design.locate(p, k.name)
	if closed {
		a.over, a.notRun = true, true
		return
	}
	request := &pb.ClaimRequest{
		Service: "s", Key: k.name, Attempt: a.id, Member: p.self.GetName(), Incarnation: p.self.GetIncarnation(),
	}
	w.network = append(w.network, func() {
		w.deliver(owner.GetName(), func(o *process) {
			response := o.memory.Claim(w.clock(o), request)
			w.network = append(w.network, func() { w.claimed(a, response) })
		})
	})
}

// claimed is the arrival of a claim's answer.
func (w *world) claimed(a *attempt, response *pb.ClaimResponse) {
	if a.over || a.by.dead || a.by.frozen {
		return
	}
	if limits.TooLate(w.now, a.began) {
		w.giveUp(a)
		return
	}
	switch response.GetVerdict() {
	case pb.ClaimVerdict_CLAIM_VERDICT_GRANTED:
		if !slices.Contains(a.by.granted, a) {
			a.by.granted = append(a.by.granted, a)
		}
	case pb.ClaimVerdict_CLAIM_VERDICT_NOT_OWNER, pb.ClaimVerdict_CLAIM_VERDICT_FULL:
		a.over, a.notRun = true, true
	default:
		a.over = true
	}
}

// run sends a granted attempt to the worker, unless the process was paused, and tells the owner.
func (w *world) run(a *attempt) {
	if a.over || a.by.dead || a.by.frozen {
		return
	}
	a.over = true
	kind := pb.OutcomeKind_OUTCOME_KIND_NOT_RUN
	if a.paused == a.by.paused && w.choose(4) > 0 {
		a.ran = true
		kind = pb.OutcomeKind_OUTCOME_KIND_DONE + pb.OutcomeKind(2*w.choose(2)) // done or unknown
	}
	w.finish(a, kind)
}

// giveUp ends an attempt whose claim is not answered.
func (w *world) giveUp(a *attempt) {
	if a.over || a.by.dead || a.by.frozen {
		return
	}
	a.over = true
	w.finish(a, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
}

func (w *world) finish(a *attempt, kind pb.OutcomeKind) {
	a.notRun = kind == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN
	owner, _ := w.design.locate(a.by, a.key)
	request := &pb.FinishRequest{Service: "s", Key: a.key, Attempt: a.id, Outcome: &pb.Outcome{Kind: kind, Status: 200}}
	w.network = append(w.network, func() {
		w.deliver(owner.GetName(), func(o *process) { o.memory.Finish(w.clock(o), request) })
	})
}
