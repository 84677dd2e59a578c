package fleet

import (
	"fmt"
	"slices"
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Received is the received heartbeat with the highest sequence of one incarnation. Record maintains it.
type Received struct {
	Heartbeat *pb.Heartbeat
	// At is the time at which the heartbeat was received.
	At time.Time
	// Since is the time at which the first heartbeat of this incarnation was received, or first requested after a
	// change of controller.
	Since time.Time
}

// Reports is the evidence by which releases and removals of members are decided: heartbeats and the platform's list.
type Reports struct {
	Now time.Time
	// PauseLimit is the pause after which a process checks itself before it sends anything. A replaced process may
	// still send for that long after its successor first reported.
	PauseLimit time.Duration
	// Heartbeats are keyed by the sender's incarnation. Heartbeats of former members are kept while a guest that they
	// list is neither registered nor gone.
	Heartbeats map[string]Received
	// Gone is the time since which the platform's list has shown an incarnation as gone.
	Gone map[string]time.Time
}

// Record stores a received heartbeat unless the stored one of its incarnation has an equal or higher sequence. An older
// heartbeat must not replace a newer one, because it may lack a guest that the newer one lists.
func Record(heartbeats map[string]Received, h *pb.Heartbeat, now time.Time) {
	last, reported := heartbeats[h.Incarnation]
	if !reported {
		last.Since = now
	}
	if reported && h.Sequence <= last.Heartbeat.GetSequence() {
		return
	}
	heartbeats[h.Incarnation] = Received{Heartbeat: h, At: now, Since: last.Since}
}

// HoldReason is the reason why a member has not released.
type HoldReason int

// Hold reasons, ordered by how much is known about the member.
const (
	// NotReported means that the incarnation has not reported yet, or that its first report is more recent than the
	// pause limit.
	NotReported HoldReason = iota
	// NotApplied means that the member has not applied the change.
	NotApplied
	// InFlight means that the member has requests in flight on the host.
	InFlight
)

// Holder is an entry host that has not released a host, or that has not applied a change of owners.
type Holder struct {
	Name        string
	Incarnation string
	Reason      HoldReason
	// Requests and Oldest describe what is in flight when Reason is InFlight.
	Requests int64
	Oldest   time.Duration
}

// String returns the holder's name and the reason.
func (h Holder) String() string {
	switch h.Reason {
	case NotApplied:
		return h.Name + " (has not applied the change)"
	case InFlight:
		return fmt.Sprintf("%s (%d requests in flight, the oldest for %s)", h.Name, h.Requests, h.Oldest)
	default:
		return h.Name + " (has not reported)"
	}
}

// Released reports whether every member and guest has applied the host's phase and has no request in flight on the
// host. A report does not expire: a member that has applied the phase starts nothing on the host until a later
// revision.
func Released(f *pb.Fleet, host string, r Reports) bool {
	return len(Holders(f, host, r)) == 0
}

// Holders returns the entry hosts that have not released a host: members, and guests that the heartbeats list. It
// returns nil for an unknown host.
func Holders(f *pb.Fleet, host string, r Reports) []Holder {
	for _, h := range f.GetHosts() {
		if h.Host == host {
			return unreleased(f, h.PhaseRevision, host, r)
		}
	}
	return nil
}

// unreleased returns the entry hosts that have not reported a revision as applied, or, if host is not empty, that have
// requests in flight on it.
func unreleased(f *pb.Fleet, revision uint64, host string, r Reports) []Holder {
	var out []Holder
	for _, m := range participants(f, r) {
		report, reported := r.Heartbeats[m.Incarnation]
		if holder, held := checkHolder(m, report, reported, revision, host, r); held {
			out = append(out, holder)
		}
	}
	return out
}

// participants returns the members and all guests. A guest counts even if its sponsor is no longer a member, because
// the guest may still be running. Once a member of its name has registered, the guest is that member or is replaced by
// it. A guest that the platform's list has shown as gone for more than the pause limit does not count.
func participants(f *pb.Fleet, r Reports) []*pb.Member {
	out := slices.Clone(f.GetMembers())
	names := make(map[string]bool, len(out))
	for _, m := range out {
		names[m.Name] = true
	}
	var guests []*pb.Member
	seen := map[string]bool{}
	for _, report := range r.Heartbeats {
		for _, g := range report.Heartbeat.GetGuests() {
			if !names[g.Name] && !seen[g.Incarnation] && !r.confirmedGone(g.Incarnation) {
				seen[g.Incarnation] = true
				guests = append(guests, g)
			}
		}
	}
	sort.Slice(guests, func(i, j int) bool { return guests[i].Incarnation < guests[j].Incarnation })
	return append(out, guests...)
}

func (r Reports) confirmedGone(incarnation string) bool {
	since, ok := r.Gone[incarnation]
	return ok && r.Now.Sub(since) > r.PauseLimit
}

// checkHolder returns the reason why a member has not released, and false if it has released.
func checkHolder(m *pb.Member, report Received, reported bool, revision uint64, host string, r Reports) (Holder, bool) {
	holder := Holder{Name: m.Name, Incarnation: m.Incarnation}
	if !reported || report.Heartbeat.GetIncarnation() != m.Incarnation || r.Now.Sub(report.Since) < r.PauseLimit {
		return holder, true
	}
	if report.Heartbeat.FleetRevision < revision {
		holder.Reason = NotApplied
		return holder, true
	}
	for _, held := range report.Heartbeat.HeldHosts {
		if host != "" && held.Host == host {
			holder.Reason = InFlight
			holder.Requests = held.Requests
			holder.Oldest = time.Duration(held.OldestMs) * time.Millisecond
			return holder, true
		}
	}
	return holder, false
}
