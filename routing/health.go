package routing

import (
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/samber/lo"
)

// Observe updates run times, job failures and host health from the outcome of an attempt. A cancelled attempt only ends
// the host's probe, if there is one.
func (r *Router) Observe(now time.Time, o Observation) {
	if o.Result == Cancelled {
		r.host(o.Host).probing = false
		return
	}
	failed := o.Result != Succeeded
	switch o.Result {
	case Succeeded:
		r.runTimes.observe(o.Service, o.Host, o.RunTime)
		r.jobs.succeeded(o.JobDigest)
	case Failed:
		r.jobs.failed(now, o.JobDigest, o.Host)
	default:
		// The job was not run.
	}
	h := r.host(o.Host)
	h.record(o.JobDigest, failed)
	h.share = share(r.counts(h, recentOutcomes))
	if h.ejected {
		r.endProbe(now, h, failed)
		return
	}
	if failed && r.failing(h) {
		r.eject(now, h)
	}
}

func (r *Router) host(name string) *host {
	h, ok := r.hosts[name]
	if !ok {
		h = &host{name: name}
		r.hosts[name] = h
	}
	return h
}

// failing reports whether enough distinct jobs fail on the host, and a clearly larger share than on the other hosts.
func (r *Router) failing(h *host) bool {
	needed := failingJobs
	if r.ejectedByPeers(h.name) {
		// A host ejected by a peer needs fewer failures here.
		needed = 1
	}
	failed, seen := r.counts(h, recentOutcomes)
	if failed < needed || float64(failed) < failingShare*float64(seen) {
		failed, seen = r.counts(h, failureStreak)
		if failed < failureStreak {
			return false
		}
	}
	return share(failed, seen) >= r.medianShareOfOthers(h)+outlierMargin
}

// counts returns the numbers of failed and of all jobs among the host's last ones, without the jobs that are blamed for
// their own failures.
func (r *Router) counts(h *host, last int) (failed, seen int) {
	return h.count(last, func(digest uint64) bool { return r.jobs.isBlamed(digest, r.hosts) })
}

// medianShareOfOthers returns the median failure share of the other hosts that are not ejected.
func (r *Router) medianShareOfOthers(except *host) float64 {
	var shares []float64
	for _, h := range r.hosts {
		if h == except || h.ejected {
			continue
		}
		if len(h.outcomes) > 0 {
			shares = append(shares, h.share)
		}
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}

func (r *Router) ejectedByPeers(name string) bool {
	for _, hosts := range r.peers {
		if hosts[name].GetEjected() {
			return true
		}
	}
	return false
}

func (r *Router) eject(now time.Time, h *host) {
	h.ejected = true
	h.probing = false
	h.probeWait = max(h.probeWait, r.options.ProbeAfter)
	h.probeAt = now.Add(h.probeWait)
}

// endProbe returns the host to service if its probe succeeded, and otherwise doubles the time until the next probe.
func (r *Router) endProbe(now time.Time, h *host, failed bool) {
	if failed {
		h.probing = false
		h.probeWait = min(2*h.probeWait, r.options.ProbeLimit)
		h.probeAt = now.Add(h.probeWait)
		return
	}
	h.ejected = false
	h.probing = false
	// probeWait is kept, so that a host that soon fails again is probed less often. All outcomes before the probe are
	// discarded.
	h.outcomes = h.outcomes[len(h.outcomes)-1:]
	h.share = share(r.counts(h, recentOutcomes))
}

// Health returns the complete observed health of all hosts, sorted by name.
func (r *Router) Health() []*pb.HostHealth {
	names := lo.Keys(r.hosts)
	slices.Sort(names)
	return lo.Map(names, func(name string, _ int) *pb.HostHealth {
		h := r.hosts[name]
		failed, seen := r.counts(h, recentOutcomes)
		return &pb.HostHealth{Host: name, Succeeded: int64(seen - failed), Failed: int64(failed), Ejected: h.ejected}
	})
}

// Ejected reports whether a host is ejected, so that it only gets probes.
func (r *Router) Ejected(name string) bool {
	h, known := r.hosts[name]
	return known && h.ejected
}

// EjectedHosts returns the names of the ejected hosts, sorted.
func (r *Router) EjectedHosts() []string {
	names := lo.Keys(lo.PickBy(r.hosts, func(_ string, h *host) bool { return h.ejected }))
	slices.Sort(names)
	return names
}

// Merge replaces the host health reported by a peer. A host ejected by a peer is not ejected here for that reason
// alone, but fewer failures observed here suffice. An empty list removes the peer's report.
func (r *Router) Merge(peer string, health []*pb.HostHealth) {
	if len(health) == 0 {
		delete(r.peers, peer)
		return
	}
	r.peers[peer] = lo.KeyBy(health, func(h *pb.HostHealth) string { return h.GetHost() })
}

// Forget drops the health and the run times of a host that has left the fleet.
func (r *Router) Forget(name string) {
	delete(r.hosts, name)
	r.runTimes.forget(name)
}
