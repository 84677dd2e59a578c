package fleet

import (
	"fmt"
	"slices"
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Received is the newest heartbeat of one incarnation, by its sequence; Record keeps it so.
type Received struct {
	Heartbeat *pb.Heartbeat
	// At is when it came.
	At time.Time
	// Since is when the first heartbeat of this incarnation came, or was first asked for after a change of controller.
	Since time.Time
}

// Reports are the heartbeats that a barrier is judged by.
type Reports struct {
	Now time.Time
	// PauseLimit is the pause after which a process checks itself before it sends anything. A replaced process may be
	// sending for that long after its successor was first heard.
	PauseLimit time.Duration
	// Heartbeats are keyed by the sender's incarnation. Those of former members stay while a guest that they name is
	// neither registered nor gone.
	Heartbeats map[string]Received
	// Gone tells since when the platform's list shows an incarnation gone.
	Gone map[string]time.Time
}

// Record keeps a heartbeat that came, unless a later one of its incarnation came before. An earlier one must not take the
// later one's place: it may not name a guest yet.
func Record(heartbeats map[string]Received, h *pb.Heartbeat, now time.Time) {
	last, heard := heartbeats[h.Incarnation]
	if !heard {
		last.Since = now
	}
	if heard && h.Sequence <= last.Heartbeat.GetSequence() {
		return
	}
	heartbeats[h.Incarnation] = Received{Heartbeat: h, At: now, Since: last.Since}
}

// HoldReason is why a member has not released.
type HoldReason int

// Reasons, from the least known to the best known.
const (
	// NotHeard means that the incarnation has not reported, or not for as long as the pause limit.
	NotHeard HoldReason = iota
	// NotApplied means that the member has not applied the change.
	NotApplied
	// Carrying means that requests of the member are in flight on the host.
	Carrying
)

// Holder is an entry host that has not released.
type Holder struct {
	Name        string
	Incarnation string
	Reason      HoldReason
	// Requests and Oldest describe what is in flight when Reason is Carrying.
	Requests int64
	Oldest   time.Duration
}

// String says who holds, and why.
func (h Holder) String() string {
	switch h.Reason {
	case NotApplied:
		return h.Name + " (has not applied the change)"
	case Carrying:
		return fmt.Sprintf("%s (%d requests in flight, the oldest for %s)", h.Name, h.Requests, h.Oldest)
	default:
		return h.Name + " (has not reported)"
	}
}

// Released says whether every member has applied the host's phase and carries nothing on the host any more. A report
// never goes out of date: a member that applied the phase starts nothing on the host until a later revision.
func Released(f *pb.Fleet, host string, r Reports) bool {
	return len(Holders(f, host, r)) == 0
}

// Holders lists who has not released a host: members, and guests that joined through a heartbeat's
// sender. It returns nil for an unknown host.
func Holders(f *pb.Fleet, host string, r Reports) []Holder {
	for _, h := range f.GetHosts() {
		if h.Host == host {
			return pending(f, h.PhaseRevision, host, r)
		}
	}
	return nil
}

// pending lists the entry hosts that have not applied a revision, or that carry requests on a host if one is given.
func pending(f *pb.Fleet, revision uint64, host string, r Reports) []Holder {
	var out []Holder
	for _, m := range present(f, r) {
		report, heard := r.Heartbeats[m.Incarnation]
		if holder, held := judge(m, report, heard, revision, host, r); held {
			out = append(out, holder)
		}
	}
	return out
}

// present lists the members and all guests. A guest counts also when its sponsor is a member no more: it may be running
// still. Once a member of its name has registered, it is that member or is replaced by it; one that is proved gone for
// as long as the pause limit does not count.
func present(f *pb.Fleet, r Reports) []*pb.Member {
	out := slices.Clone(f.GetMembers())
	names := make(map[string]bool, len(out))
	for _, m := range out {
		names[m.Name] = true
	}
	var guests []*pb.Member
	seen := map[string]bool{}
	for _, report := range r.Heartbeats {
		for _, g := range report.Heartbeat.GetGuests() {
			if !names[g.Name] && !seen[g.Incarnation] && !r.gone(g.Incarnation) {
				seen[g.Incarnation] = true
				guests = append(guests, g)
			}
		}
	}
	sort.Slice(guests, func(i, j int) bool { return guests[i].Incarnation < guests[j].Incarnation })
	return append(out, guests...)
}

func (r Reports) gone(incarnation string) bool {
	since, ok := r.Gone[incarnation]
	return ok && r.Now.Sub(since) > r.PauseLimit
}

func judge(m *pb.Member, report Received, heard bool, revision uint64, host string, r Reports) (Holder, bool) {
	holder := Holder{Name: m.Name, Incarnation: m.Incarnation}
	if !heard || report.Heartbeat.GetIncarnation() != m.Incarnation || r.Now.Sub(report.Since) < r.PauseLimit {
		return holder, true
	}
	if report.Heartbeat.FleetRevision < revision {
		holder.Reason = NotApplied
		return holder, true
	}
	for _, held := range report.Heartbeat.HeldHosts {
		if host != "" && held.Host == host {
			holder.Reason = Carrying
			holder.Requests = held.Requests
			holder.Oldest = time.Duration(held.OldestMs) * time.Millisecond
			return holder, true
		}
	}
	return holder, false
}
