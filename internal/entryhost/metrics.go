package entryhost

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/admission"
	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/idempotency"
	"github.com/agateturn/agateturn/routing"
	"github.com/agateturn/agateturn/stats"
)

// Names of the counters; docs/OPERATIONS.md says which to alert on.
const (
	metricRefusals       = "agateturn_refusals_total"
	metricClaims         = "agateturn_claims_total"
	metricUpstreamErrors = "agateturn_upstream_errors_total"
	metricPauses         = "agateturn_pauses_total"
)

// Names of the gauges, which are set when they are asked for.
const (
	metricReady        = "agateturn_ready"
	metricHeld         = "agateturn_requests_held"
	metricStoreAge     = "agateturn_store_age_seconds"
	metricRevision     = "agateturn_fleet_revision"
	metricGeneration   = "agateturn_config_generation"
	metricSlots        = "agateturn_slots"
	metricQueued       = "agateturn_queued_requests"
	metricOldestQueued = "agateturn_oldest_queued_seconds"
	metricEjected      = "agateturn_ejected_hosts"
	metricKeys         = "agateturn_keys_remembered"
	metricHosts        = "agateturn_hosts"
	metricRingItems    = "agateturn_ring_items"
	metricRingCapacity = "agateturn_ring_capacity"
	metricRingRefused  = "agateturn_ring_refused"
)

// scrapeTimeout bounds the wait for the dispatcher when metrics are asked for.
const scrapeTimeout = time.Second

// refusalCode names why a request got no worker's answer. The set is fixed, so that it can be a label.
type refusalCode string

const (
	codeBadRequest     refusalCode = "bad_request"
	codeForbidden      refusalCode = "forbidden_team"
	codeNotFound       refusalCode = "not_found"
	codeBody           refusalCode = "body"
	codeEntryHostFull  refusalCode = "entry_host_full"
	codeQueueFull      refusalCode = "queue_full"
	codeDeadline       refusalCode = "deadline"
	codeHopeless       refusalCode = "hopeless"
	codeNoHost         refusalCode = "no_host"
	codeNotReached     refusalCode = "worker_not_reached"
	codeUnready        refusalCode = "unready"
	codeCallerGone     refusalCode = "caller_gone"
	codeKeyOwner       refusalCode = "key_owner"
	codeKeysFull       refusalCode = "keys_full"
	codeKeyMismatch    refusalCode = "key_mismatch"
	codeKeyRepeated    refusalCode = "key_repeated"
	codeUnknownOutcome refusalCode = "unknown_outcome"
	codeOther          refusalCode = "other"
)

// codeOfStatus is the code of a refusal that has none of its own.
func codeOfStatus(status int) refusalCode {
	switch status {
	case http.StatusBadRequest:
		return codeBadRequest
	case http.StatusForbidden:
		return codeForbidden
	case http.StatusNotFound:
		return codeNotFound
	case http.StatusRequestTimeout, http.StatusRequestEntityTooLarge:
		return codeBody
	case http.StatusConflict:
		return codeKeyRepeated
	case http.StatusServiceUnavailable:
		return codeUnready
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return codeUnknownOutcome
	default:
		return codeOther
	}
}

// codeOfReason is the code of a rejection by admission.
func codeOfReason(reason admission.Reason) refusalCode {
	switch reason {
	case admission.ReasonHostFull:
		return codeEntryHostFull
	case admission.ReasonQueueFull:
		return codeQueueFull
	case admission.ReasonDeadline, admission.ReasonUrgentStart:
		return codeDeadline
	default:
		return codeOther
	}
}

// as gives the refusal its code.
func (r refusal) as(code refusalCode) refusal {
	r.code = code
	return r
}

// refuse counts the refusal and sends it.
func (s *callerServer) refuse(ctx context.Context, w http.ResponseWriter, r refusal) {
	code := r.code
	if code == "" {
		code = codeOfStatus(r.status)
	}
	s.stats.Counter(metricRefusals, stats.Label{Name: "code", Value: string(code)}).Inc(1)
	s.logRefusal(ctx, r)
	writeRefusal(w, r)
}

// countClaim counts a claim by its verdict; an error is one that got none.
func (s *callerServer) countClaim(answer *pb.ClaimResponse, err error) {
	verdict := "unreachable"
	if err == nil {
		verdict = strings.ToLower(strings.TrimPrefix(answer.GetVerdict().String(), "CLAIM_VERDICT_"))
	}
	s.stats.Counter(metricClaims, stats.Label{Name: "verdict", Value: verdict}).Inc(1)
}

// countUpstreamError counts an exchange that brought no whole answer, unless the host is not to blame.
func (s *callerServer) countUpstreamError(host string, ended outcome, result routing.Result) {
	if result == routing.Cancelled {
		return
	}
	s.stats.Counter(metricUpstreamErrors,
		stats.Label{Name: "host", Value: host}, stats.Label{Name: "outcome", Value: ended.String()}).Inc(1)
}

// metricsHandler sets the gauges and serves all metrics.
func (d *Daemon) metricsHandler() http.Handler {
	export := d.stats.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), scrapeTimeout)
		defer cancel()
		d.setGauges(ctx, time.Now())
		export.ServeHTTP(w, r)
	})
}

func (d *Daemon) setGauges(ctx context.Context, now time.Time) {
	d.gauge(metricReady, lo.Ternary(d.ready() == nil, 1.0, 0.0))
	d.gauge(metricHeld, float64(d.callers.held.Load()))
	d.gauge(metricStoreAge, d.view.storeAge(now).Seconds())
	d.gauge(metricRevision, float64(d.view.appliedRevision()))
	d.gauge(metricGeneration, float64(d.view.config().GetGeneration()))
	d.gauge(metricKeys, float64(d.keys.remembered()))
	d.setHostGauges()
	d.setDispatcherGauges(ctx)
	d.setRingGauges()
}

// setHostGauges counts the hosts of each pool by phase.
func (d *Daemon) setHostGauges() {
	hosts := d.view.fleet().GetHosts()
	for _, pool := range d.view.config().GetPools() {
		for _, phase := range hostPhases {
			n := lo.CountBy(hosts, func(h *pb.HostState) bool { return h.GetPool() == pool.GetName() && h.GetPhase() == phase })
			d.gauge(metricHosts, float64(n),
				stats.Label{Name: "pool", Value: pool.GetName()}, stats.Label{Name: "phase", Value: fleet.PhaseName(phase)})
		}
	}
}

// hostPhases are the phases that a host can be in.
var hostPhases = []pb.HostPhase{
	pb.HostPhase_HOST_PHASE_ACTIVE, pb.HostPhase_HOST_PHASE_DRAINING,
	pb.HostPhase_HOST_PHASE_MAINTENANCE, pb.HostPhase_HOST_PHASE_DOWN,
}

func (d *Daemon) setDispatcherGauges(ctx context.Context) {
	s := d.dispatch.slotStatus(ctx)
	for state, n := range map[string]int{
		"own": s.Own, "in_use": s.InUse, "lent": s.Lent, "borrowed": s.Borrowed, "waiting": s.Waiting,
	} {
		d.gauge(metricSlots, float64(n), stats.Label{Name: "state", Value: state})
	}
	load := d.dispatch.load(ctx)
	d.gauge(metricEjected, float64(len(load.ejected)))
	for _, demand := range load.demand {
		pool := stats.Label{Name: "pool", Value: demand.GetPool()}
		d.gauge(metricQueued, float64(demand.GetQueued()), pool)
		oldest := time.Duration(demand.GetOldestQueuedMs()) * time.Millisecond
		d.gauge(metricOldestQueued, oldest.Seconds(), pool)
	}
}

// dispatcherLoad is what waits at the dispatcher.
type dispatcherLoad struct {
	demand  []*pb.PoolDemand
	ejected []string
}

// load asks the dispatcher; it is empty if ctx ends first.
func (d *dispatcher) load(ctx context.Context) dispatcherLoad {
	counted := make(chan dispatcherLoad, 1)
	err := d.commands.Put(ctx, func(d *dispatcher, now time.Time) {
		counted <- dispatcherLoad{demand: d.queues.Demand(now), ejected: d.router.EjectedHosts()}
	})
	if err != nil {
		return dispatcherLoad{}
	}
	select {
	case load := <-counted:
		return load
	case <-ctx.Done():
		return dispatcherLoad{}
	}
}

// remembered is the number of keys that this entry host remembers as their owner.
func (k *keys) remembered() int {
	n := 0
	k.with(func(o *idempotency.Owner) { n = o.Len() })
	return n
}

// ringState is what every ring can tell of itself.
type ringState interface {
	Name() string
	Len() int
	Cap() int
	Refused() int64
}

// setRingGauges tells how full the rings are that hold work. Those that hold one signal are left out.
func (d *Daemon) setRingGauges() {
	for _, r := range []ringState{d.dispatch.commands, d.keys.ends} {
		name := stats.Label{Name: "ring", Value: r.Name()}
		d.gauge(metricRingItems, float64(r.Len()), name)
		d.gauge(metricRingCapacity, float64(r.Cap()), name)
		d.gauge(metricRingRefused, float64(r.Refused()), name)
	}
}

func (d *Daemon) gauge(name string, value float64, labels ...stats.Label) {
	d.stats.Gauge(name, labels...).Update(value)
}
