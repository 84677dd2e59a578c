package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/ownership"
	"github.com/agateturn/agateturn/store"
)

// memberState is the last known state of a member key; member is nil once it is deleted.
type memberState struct {
	version uint64
	lease   uint64
	member  *pb.JobMember
}

// ownerState is the last known state of an owner key; owner is nil while the pool is free.
type ownerState struct {
	// version is the revision of the key's last change. While the pool is owned, it is the fencing token.
	version uint64
	lease   uint64
	owner   *pb.OwnerRecord
	// last is the owner before the pool became free.
	last *pb.OwnerRecord
	// freeSince is when the pool became free or its owner was proved gone.
	freeSince time.Time
	// gone is why the owner is taken to be gone although its lease has not expired, or empty. The key may then be replaced.
	gone string
	// learned is how the last change of the key was learned.
	learned string
	// provisional means that owner is a peer that accepted a hand-over. The next state of the key received from the store
	// replaces it, even under the same version.
	provisional bool
}

// view is the newest known version of each key in the store.
type view struct {
	// loaded is set by the first reset.
	loaded  bool
	members map[string]*memberState
	owners  map[string]*ownerState
}

// apply updates the state of one key unless a newer one is known.
func (v *view) apply(e store.Event, learned string, now time.Time) {
	kind, name := jobkeys.ParseMembership(e.Item.Key)
	switch kind {
	case jobkeys.MemberKey:
		v.applyMember(name, e)
	case jobkeys.OwnerKey:
		v.applyOwner(name, e, learned, now)
	case jobkeys.OtherKey:
	}
}

func (v *view) applyMember(name string, e store.Event) {
	s, ok := v.members[name]
	if !ok {
		s = &memberState{}
		v.members[name] = s
	}
	if e.Item.Version <= s.version {
		return
	}
	s.version, s.lease, s.member = e.Item.Version, e.Item.Lease, nil
	if e.Deleted {
		return
	}
	rec := &pb.JobMember{}
	if proto.Unmarshal(e.Item.Data, rec) == nil && rec.GetName() == name {
		s.member = rec
	}
}

func (v *view) applyOwner(pool string, e store.Event, learned string, now time.Time) {
	s := v.owner(pool, now)
	if e.Item.Version < s.version || (e.Item.Version == s.version && !s.provisional) {
		return
	}
	s.provisional, s.gone, s.learned = false, "", learned
	if e.Deleted {
		s.free(e.Item.Version, now)
		return
	}
	s.version, s.lease = e.Item.Version, e.Item.Lease
	rec := &pb.OwnerRecord{}
	if proto.Unmarshal(e.Item.Data, rec) != nil {
		rec = &pb.OwnerRecord{} // the key is owned nevertheless
	}
	s.owner = rec
}

// free records that the key was deleted at the version.
func (s *ownerState) free(version uint64, now time.Time) {
	if s.owner != nil {
		s.last, s.owner, s.freeSince = s.owner, nil, now
	}
	s.version, s.lease = version, 0
}

func (v *view) owner(pool string, now time.Time) *ownerState {
	s, ok := v.owners[pool]
	if !ok {
		s = &ownerState{freeSince: now}
		v.owners[pool] = s
	}
	return s
}

// reset applies all items as of a revision. A known key that is missing from the items was deleted, unless the known
// version is newer than the revision.
func (v *view) reset(items []store.Item, asOf uint64, now time.Time) {
	v.loaded = true
	present := lo.SliceToMap(items, func(i store.Item) (string, bool) { return i.Key, true })
	for _, i := range items {
		v.apply(store.Event{Item: i}, fromRead, now)
	}
	for name, s := range v.members {
		switch {
		case present[jobkeys.Member(name)] || s.version > asOf:
		case s.member == nil:
			delete(v.members, name)
		default:
			s.member, s.version = nil, asOf // a tombstone until the next reset, so that old events don't restore the member
		}
	}
	for pool, s := range v.owners {
		if !present[jobkeys.Owner(pool)] && s.owner != nil && s.version < asOf {
			v.apply(store.Event{Item: store.Item{Key: jobkeys.Owner(pool), Version: asOf}, Deleted: true}, fromRead, now)
		}
	}
}

// differs reports whether the items read at revision asOf contain changes that the view has missed.
func (v *view) differs(items []store.Item, asOf uint64) bool {
	found := make(map[string]uint64, len(items))
	for _, i := range items {
		found[i.Key] = i.Version
		if i.Version > v.version(i.Key) {
			return true
		}
	}
	missing := func(key string, version uint64, present bool) bool {
		_, ok := found[key]
		return present && !ok && version < asOf
	}
	for name, s := range v.members {
		if missing(jobkeys.Member(name), s.version, s.member != nil) {
			return true
		}
	}
	for pool, s := range v.owners {
		if s.provisional && asOf > s.version {
			return true
		}
		if missing(jobkeys.Owner(pool), s.version, s.owner != nil) {
			return true
		}
	}
	return false
}

func (v *view) version(key string) uint64 {
	kind, name := jobkeys.ParseMembership(key)
	switch kind {
	case jobkeys.MemberKey:
		if s, ok := v.members[name]; ok {
			return s.version
		}
	case jobkeys.OwnerKey:
		if s, ok := v.owners[name]; ok {
			return s.version
		}
	case jobkeys.OtherKey:
		return ^uint64(0) // other keys are never newer
	}
	return 0
}

// live returns the members whose keys exist, sorted by name.
func (v *view) live() []*pb.JobMember {
	found := make([]*pb.JobMember, 0, len(v.members))
	for _, s := range v.members {
		if s.member != nil {
			found = append(found, s.member)
		}
	}
	slices.SortFunc(found, func(a, b *pb.JobMember) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return found
}

// markRestarted marks as proved gone the owners whose host registered another incarnation after the owner key was written.
func (v *view) markRestarted(now time.Time) {
	for _, s := range v.owners {
		m, ok := v.members[s.owner.GetMember()]
		if ok && m.member != nil && m.version > s.version && m.member.GetIncarnation() != s.owner.GetIncarnation() {
			s.markGone(ownerRestarted, now)
		}
	}
}

func (s *ownerState) markGone(why string, now time.Time) {
	if s.owner != nil && s.gone == "" && !s.provisional {
		s.gone, s.freeSince = why, now
	}
}

// ownershipView converts the view to the input of package ownership.
func (v *view) ownershipView(pools []string, settled, now time.Time) ownership.View {
	gone := make(map[string]bool) // by incarnation
	states := lo.Map(pools, func(p string, _ int) ownership.Pool {
		s := v.owner(p, now)
		pool := ownership.Pool{Name: p, FreeSince: s.freeSince}
		switch {
		case s.gone != "":
			gone[s.owner.GetIncarnation()] = true
		case s.owner != nil:
			pool.Owner = cmp.Or(s.owner.GetMember(), "?")
		default:
			pool.LastOwner, pool.LastIncarnation = s.last.GetMember(), s.last.GetIncarnation()
		}
		return pool
	})
	var members []ownership.Member
	for _, m := range v.live() {
		if !gone[m.GetIncarnation()] {
			members = append(members, ownership.Member{
				Name: m.GetName(), Incarnation: m.GetIncarnation(), Leaving: m.GetLeaving(), CPUMilli: m.GetCpuMilli(),
			})
		}
	}
	return ownership.View{Members: members, Pools: states, Settled: settled}
}
