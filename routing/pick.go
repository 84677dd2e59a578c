package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
)

// peerPenalty is the factor applied to the load of a host that a peer has ejected.
const peerPenalty = 2.0

// Pick returns the host for the request, or false if no candidate may take it now. A first attempt adds to the retry
// budget of its service.
//
// It returns the host with the least work per slot, weighted by learned run time and success share. Hosts of the local
// data centre are preferred up to Options.LocalLoad. An ejected host gets one request at a time as a probe.
func (r *Router) Pick(now time.Time, request Request, candidates []Candidate) (string, bool) {
	if !request.Retry {
		r.budget(request.Service).Deposit(r.options.RetryShare, maxBudget)
	}
	ejected := r.ejectedOf(candidates)
	if probe, ok := r.probe(now, request, candidates, ejected); ok {
		return probe, true
	}
	local := choice{load: math.Inf(1)}
	remote := choice{load: math.Inf(1)}
	serviceRun := r.runTimes.ofService(request.Service, request.ExpectedRun)
	for i := range candidates {
		c := &candidates[i]
		if ejected[c.Host] || !r.usable(now, request, c) {
			continue
		}
		group := &remote
		if c.DataCentre == r.options.DataCentre {
			group = &local
		}
		group.offer(r.random, c.Host, r.load(request.Service, serviceRun, c))
	}
	if local.load > r.options.LocalLoad && remote.load*r.options.RemotePenalty < local.load {
		return remote.host, true
	}
	return local.host, local.host != ""
}

// choice is the least loaded host offered so far.
type choice struct {
	host string
	load float64
	ties int
}

// offer replaces the choice by the host if that is less loaded. Equally loaded hosts are chosen with equal probability.
func (c *choice) offer(random *rand.Rand, host string, load float64) {
	switch {
	case load < c.load:
		*c = choice{host: host, load: load, ties: 1}
	case load == c.load:
		c.ties++
		if random.IntN(c.ties) == 0 {
			c.host = host
		}
	}
}

// usable reports whether the candidate may take the request, regardless of ejection.
func (r *Router) usable(now time.Time, request Request, c *Candidate) bool {
	if c.Free <= 0 || c.Slots <= 0 || lo.Contains(request.Exclude, c.Host) {
		return false
	}
	due := !c.DueForMaintenance.IsZero() && c.DueForMaintenance.Sub(now) <= r.options.SessionNotice
	return request.Class != Session || !due
}

// ejectedOf returns the ejected candidates, limited to the ones with the highest failure shares if they exceed
// MaxEjected.
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
			return cmp.Or(cmp.Compare(r.failureShare(b), r.failureShare(a)), cmp.Compare(a, b))
		})
		names = names[:permitted]
	}
	return lo.SliceToMap(names, func(name string) (string, bool) { return name, true })
}

// failureShare returns the failure share of the host.
func (r *Router) failureShare(name string) float64 {
	if h, ok := r.hosts[name]; ok {
		return h.share
	}
	return 0
}

// probe returns an ejected host that is due for a probe and can be probed with this request, and marks it as being
// probed.
func (r *Router) probe(now time.Time, request Request, candidates []Candidate, ejected map[string]bool) (string, bool) {
	if len(ejected) == 0 || request.Class == Session || request.Retry {
		return "", false
	}
	for i := range candidates {
		c := &candidates[i]
		h := r.hosts[c.Host]
		if !ejected[c.Host] || !r.usable(now, request, c) || h.probing && now.Before(h.probeAt.Add(r.options.ProbeLimit)) {
			continue
		}
		due := h.probeAt
		if !request.Idempotent {
			// Idempotent requests are preferred as probes; another request is used only probeWait later.
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

// load returns the work per slot that the host would have with the request, relative to the service's mean run time.
func (r *Router) load(service string, serviceRun float64, c *Candidate) float64 {
	load := float64(c.Slots-c.Free+1) / float64(c.Slots)
	if serviceRun > 0 {
		load *= r.runTimes.onHost(service, c.Host, serviceRun) / serviceRun
	}
	if h, ok := r.hosts[c.Host]; ok {
		load /= 1 - h.share
	}
	if r.ejectedByPeers(c.Host) {
		load *= peerPenalty
	}
	return load
}
