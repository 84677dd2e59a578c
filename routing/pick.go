package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

// peerPenalty is the factor by which a host that a peer has ejected looks more loaded.
const peerPenalty = 2.0

// Pick returns the host that the request should go to; false if no candidate may take it now.
//
// It takes the host with the least work for each of its slots, by learned run times and success: one in its own data
// centre unless that is loaded. An ejected host gets one request at a time as a probe.
func (r *Router) Pick(now time.Time, request Request, candidates []Candidate) (string, bool) {
	if !request.Retry {
		r.budget(request.Service).deposit(r.options.RetryShare)
	}
	ejected := r.ejectedOf(candidates)
	usable := lo.Filter(candidates, func(c Candidate, _ int) bool {
		return r.usable(now, request, c)
	})
	if probe, ok := r.probe(now, request, usable, ejected); ok {
		return probe, true
	}
	sound := lo.Reject(usable, func(c Candidate, _ int) bool { return ejected[c.Host] })
	local, remote := lo.FilterReject(sound, func(c Candidate, _ int) bool {
		return c.DataCentre == r.options.DataCentre
	})
	nearest, localLoad := r.leastLoaded(request, local)
	if localLoad <= r.options.LocalLoad {
		return nearest, true
	}
	farther, remoteLoad := r.leastLoaded(request, remote)
	if remoteLoad < localLoad {
		return farther, true
	}
	return nearest, nearest != ""
}

// leastLoaded returns the least loaded candidate and its load; "" and infinity if there are none.
func (r *Router) leastLoaded(request Request, candidates []Candidate) (string, float64) {
	best := ""
	bestLoad := math.Inf(1)
	ties := 0
	for _, c := range candidates {
		load := r.load(request, c)
		switch {
		case load < bestLoad:
			best, bestLoad, ties = c.Host, load, 1
		case load == bestLoad:
			ties++
			// Each of the equal candidates is taken with the same probability.
			if r.random.IntN(ties) == 0 {
				best = c.Host
			}
		}
	}
	return best, bestLoad
}

// usable reports whether the candidate may take the request, ejection aside.
func (r *Router) usable(now time.Time, request Request, c Candidate) bool {
	if c.Free <= 0 || c.Slots <= 0 || lo.Contains(request.Exclude, c.Host) {
		return false
	}
	due := !c.DueForMaintenance.IsZero() && c.DueForMaintenance.Sub(now) <= r.options.SessionNotice
	return request.Class != Session || !due
}

// ejectedOf returns the candidates that are ejected, the worst ones if they are more than the permitted share.
func (r *Router) ejectedOf(candidates []Candidate) map[string]bool {
	names := lo.FilterMap(candidates, func(c Candidate, _ int) (string, bool) {
		h, ok := r.hosts[c.Host]
		return c.Host, ok && h.ejected
	})
	permitted := int(r.options.MaxEjected * float64(len(candidates)))
	if len(candidates) > 1 {
		permitted = max(permitted, 1)
	}
	if len(names) > permitted {
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(r.failures(b), r.failures(a)), cmp.Compare(a, b))
		})
		names = names[:permitted]
	}
	return lo.SliceToMap(names, func(name string) (string, bool) { return name, true })
}

// failures returns the share of the host's jobs that failed.
func (r *Router) failures(name string) float64 {
	if h, ok := r.hosts[name]; ok {
		return h.share
	}
	return 0
}

// probe returns an ejected host that is due for a probe by this request.
func (r *Router) probe(now time.Time, request Request, usable []Candidate, ejected map[string]bool) (string, bool) {
	if request.Class == Session || request.Retry {
		return "", false
	}
	for _, c := range usable {
		h := r.hosts[c.Host]
		if !ejected[c.Host] || h.probing && now.Before(h.probeAt.Add(r.options.ProbeLimit)) {
			continue
		}
		due := h.probeAt
		if !request.Idempotent {
			// Wait for an idempotent request, but not forever.
			due = due.Add(h.probeWait)
		}
		if now.Before(due) {
			continue
		}
		h.probing = true
		return c.Host, true
	}
	return "", false
}

// load is the work for each slot that the host would have with the request, relative to the service's mean run time.
func (r *Router) load(request Request, c Candidate) float64 {
	load := float64(c.Slots-c.Free+1) / float64(c.Slots)
	onHost := r.runTimes.mean(request.Service, c.Host, request.ExpectedRun)
	anywhere := r.runTimes.mean(request.Service, "", request.ExpectedRun)
	if anywhere > 0 {
		load *= onHost.Seconds() / anywhere.Seconds()
	}
	load /= 1 - r.failures(c.Host)
	if r.ejectedByPeers(c.Host) {
		load *= peerPenalty
	}
	return load
}
