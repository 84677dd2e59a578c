package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Mode is the kind of work that the entry hosts serve.
type Mode string

// The modes of entry hosts. Cuts serves jobs while series of links are cut or refuse connections. Takeovers serves more jobs on
// larger pools, while owners end and restart during outages of the store and of workers. Refusals adds a store that refuses some entry
// hosts.
const (
	Jobs      Mode = "jobs"
	Requests  Mode = "requests"
	Cuts      Mode = "cuts"
	Takeovers Mode = "takeovers"
	Refusals  Mode = "refusals"
)

// Sizes limit the random choices of a plan.
type Sizes struct {
	// Hosts is the number of entry hosts, Workers that of the machines of all pools; 0 chooses a small random number.
	Hosts, Workers int
	// Rate is jobs or requests per second; 0 chooses a random rate that suits the mode.
	Rate float64
	// Faults is the time during which faults are injected.
	Faults time.Duration
}

// Plan describes one run. It depends only on its mode, seed and sizes.
type Plan struct {
	Seed  uint64
	Mode  Mode
	Hosts int
	// Pools holds the number of machines of each pool, the spare pool last.
	Pools []int
	// Rate is jobs or requests per second, Load the time during which they are sent.
	Rate    float64
	Load    time.Duration
	WaveCap int
	Steps   []Step
}

// Action is the kind of a step.
type Action string

// The actions of steps.
const (
	Terminate Action = "SIGTERM"
	Kill      Action = "SIGKILL"
	Pause     Action = "SIGSTOP"
	Continue  Action = "SIGCONT"
	// Start starts a process whose predecessor has ended or was told to stop.
	Start Action = "start"
	// Impair impairs a link for a time.
	Impair Action = "link"
	// Store is a temporary fault of the store. The actions after it are single faults of the store, faults of answers, orders
	// and workers, and changes of the configuration.
	Store       Action = "store"
	Compact     Action = "compact"
	Revoke      Action = "revoke"
	LoseAnswers Action = "lose-answers"
	DelayOrders Action = "late-orders"
	DelayHolds  Action = "late-holds"
	Crash       Action = "crash-worker"
	Configure   Action = "configure"
	// Return crashes the given number of workers, which return under their ids. Lapse removes the registry entries of all
	// workers, which are soon back.
	Return Action = "return-workers"
	Lapse  Action = "lapse-entries"
	// Move moves a worker to a pool, StartWave starts a wave; Detail holds the target.
	Move      Action = "move"
	StartWave Action = "wave"
)

// Step is one action. Hosts are numbered from 1.
type Step struct {
	At     time.Duration
	Series string
	Action Action
	Host   int
	// For is the duration of a fault. Detail selects the fault of a Store step, Impairment that of an Impair step. A refusal of the store
	// concerns one host.
	For        time.Duration
	Detail     string
	Impairment Impairment
	Workers    int
}

const (
	firstFault = 3 * time.Second
	// recoveryBound is the time after the last fault within which everything is served again. The load continues for
	// loadAfterBound after it.
	recoveryBound  = 12 * time.Second
	loadAfterBound = 5 * time.Second
	seriesGapMs    = 1200
	storeAddress   = "store"
	// cutsWeight is how often each kind of cut of workers is among the kinds of Cuts.
	cutsWeight = 4
	// refusalsWeight is how often refused hosts are among the kinds of Refusals.
	refusalsWeight = 8
	// minWorkers and takeoverWorkers are the smallest numbers of workers that a plan chooses, without takeovers and with them.
	minWorkers, takeoverWorkers = 8, 24
)

// planner builds a plan from random numbers.
type planner struct {
	*Plan
	random *rand.Rand
	series string
	at     time.Duration
}

// Draw returns the plan of a seed.
func Draw(mode Mode, seed uint64, sizes Sizes) Plan {
	takeovers := mode == Takeovers || mode == Refusals
	d := &planner{Plan: &Plan{Seed: seed, Mode: mode}, random: rand.New(rand.NewPCG(seed, 7))} //nolint:gosec // repeatable
	d.Hosts = cmp.Or(sizes.Hosts, 3+d.random.IntN(3))
	workers := cmp.Or(sizes.Workers, lo.Ternary(takeovers, takeoverWorkers, minWorkers)+d.random.IntN(7))
	pools := 2 + d.random.IntN(2)
	for range pools {
		d.Pools = append(d.Pools, max(3, workers/pools))
	}
	d.Pools = append(d.Pools, 1+d.random.IntN(2))
	d.Rate = map[Mode]float64{Jobs: 3 + 2*d.random.Float64(), Requests: 40 + 40*d.random.Float64()}[lo.Ternary(mode == Requests, mode, Jobs)]
	if takeovers {
		d.Rate *= takeoverWorkers / minWorkers
	}
	d.Rate = cmp.Or(sizes.Rate, d.Rate)
	d.WaveCap = 1 + d.random.IntN(2)
	end := firstFault + sizes.Faults
	d.Load = end + recoveryBound + loadAfterBound
	kinds := d.kinds()
	for at := firstFault; at < end; at += d.ms(seriesGapMs/2, 2*seriesGapMs) {
		kind := kinds[d.random.IntN(len(kinds))]
		d.series, d.at = kind.name, at
		kind.draw()
	}
	if takeovers {
		d.series, d.at = "last outage", max(firstFault, end-d.ms(2500, 6000))
		d.lastOutage()
	}
	d.Steps = slices.DeleteFunc(d.Steps, func(s Step) bool { return s.At >= end && s.Action != Start && s.Action != Continue })
	slices.SortStableFunc(d.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return *d.Plan
}

// ms returns a random duration of from to to-1 milliseconds.
func (d *planner) ms(from, to int) time.Duration {
	return time.Duration(from+d.random.IntN(to-from)) * time.Millisecond
}

func (d *planner) host() int { return 1 + d.random.IntN(d.Hosts) }

// add appends a step at the given time after the last one.
func (d *planner) add(after time.Duration, s Step) {
	d.at += after
	s.At, s.Series = d.at, d.series
	d.Steps = append(d.Steps, s)
}

type kind struct {
	name string
	draw func()
}

// kinds returns the series of the mode, with frequent ones repeated.
func (d *planner) kinds() []kind {
	all := []kind{
		{"second SIGTERM in a stop", d.repeatTerminate},
		{"paused across a takeover", d.pauseDuringTakeover},
		{"next owner killed", d.killSuccessor},
		{"all ended", d.stopAll},
		{"replaced at its address", d.replace},
		{"roll, configuration", d.roll},
		{"link", d.link},
		{"link", d.link},
		{"link", d.link},
		{"store", d.store},
		{"store", d.store},
		{"operator", d.configure},
	}
	switch d.Mode {
	case Takeovers:
		return d.takeoverKinds()
	case Refusals:
		return append(d.takeoverKinds(), slices.Repeat([]kind{{"some hosts refused", d.refuseHosts}}, refusalsWeight)...)
	case Requests:
		all = append(all, kind{"move", d.move}, kind{"move", d.move}, kind{"wave", d.startWave})
	case Cuts:
		all = slices.DeleteFunc(all, func(k kind) bool { return k.name == "link" || k.name == "all ended" })
		for range cutsWeight {
			all = append(all, kind{"all to workers", d.cutWorkers}, kind{"all to workers", d.cutWorkers}, kind{"host to workers", d.cutHostFromWorkers})
		}
		all = append(all, kind{"host to host", d.cutHosts}, kind{"host to host", d.cutHosts}, kind{"host to store", d.cutStore})
		fallthrough
	default:
		all = append(all, kind{"answers and workers", d.platformFault})
	}
	return all
}

func (d *planner) repeatTerminate() {
	h := d.host()
	d.add(0, Step{Action: Terminate, Host: h})
	d.add(d.ms(50, 1500), Step{Action: Terminate, Host: h})
	d.add(d.ms(100, 800), Step{Action: Start, Host: h})
}

func (d *planner) pauseDuringTakeover() {
	h := d.host()
	d.add(0, Step{Action: Pause, Host: h})
	if d.random.IntN(2) == 0 {
		other := d.host()
		d.add(d.ms(100, 2000), Step{Action: Kill, Host: other})
		d.add(d.ms(0, 500), Step{Action: Start, Host: other})
	}
	d.add(d.ms(1000, 5000), Step{Action: Continue, Host: h})
}

func (d *planner) killSuccessor() {
	first, second := d.host(), d.host()
	d.add(0, Step{Action: Kill, Host: first})
	d.add(d.ms(1500, 3500), Step{Action: Kill, Host: second})
	d.add(d.ms(100, 1500), Step{Action: Start, Host: first})
	d.add(0, Step{Action: Start, Host: second})
}

// stopAll ends all entry hosts within a second, by one signal or a random mix of two.
func (d *planner) stopAll() {
	signals := [][]Action{{Kill}, {Terminate}, {Kill, Terminate}}[d.random.IntN(3)]
	for h := 1; h <= d.Hosts; h++ {
		d.add(d.ms(0, 900/d.Hosts+1), Step{Action: signals[d.random.IntN(len(signals))], Host: h})
	}
	d.add(d.ms(0, 2000), Step{Action: Start, Host: 1})
	for h := 2; h <= d.Hosts; h++ {
		d.add(0, Step{Action: Start, Host: h})
	}
}

func (d *planner) replace() {
	h := d.host()
	for range 1 + d.random.IntN(2) {
		d.add(d.ms(0, 700), Step{Action: Kill, Host: h})
		d.add(0, Step{Action: Start, Host: h})
	}
}

func (d *planner) roll() {
	d.configure()
	for h := 1; h <= min(d.Hosts, 4); h++ {
		d.add(d.ms(300, 1500), Step{Action: Terminate, Host: h})
		d.add(0, Step{Action: Start, Host: h})
	}
	d.configure()
}

func (d *planner) link() {
	h := fmt.Sprintf("entry-%d", d.host())
	links := []Link{
		{h, storeAddress}, {h, storeAddress}, {h, fmt.Sprintf("entry-%d", d.host())}, {h, d.worker()}, {"", h},
	}
	if d.Mode == Requests { // entry hosts share one link to each worker and reach each other without the proxy
		links = []Link{{h, storeAddress}, {h, storeAddress}, {"", d.worker()}, {"", h}}
	}
	i := Impairment{
		Link: links[d.random.IntN(len(links))], Direction: Direction(d.random.IntN(2)),
		Harm: []Harm{Delay, Stall, Cut, Reset}[d.random.IntN(4)], Delay: d.ms(20, 400),
	}
	d.add(0, Step{Action: Impair, For: d.ms(500, 5000), Impairment: i})
}

// cut adds a series of one to three cuts of all the links at once.
func (d *planner) cut(links ...Link) {
	harms := []Harm{Close, Close, Close, Close, Refuse, Refuse, Reset, Stall, Cut}
	for n := 1 + d.random.IntN(3); n > 0; n-- {
		i := Impairment{Harm: harms[d.random.IntN(len(harms))], Direction: Direction(d.random.IntN(2))}
		lasts := d.ms(1500, 4500)
		for _, i.Link = range links {
			d.add(0, Step{Action: Impair, For: lasts, Impairment: i})
		}
		d.at += lasts + d.ms(100, 1500)
	}
}

// cutWorkers cuts up to half of the workers from all entry hosts, or from one.
func (d *planner) cutWorkers() { d.cut(d.linksToWorkers("")...) }

func (d *planner) cutHostFromWorkers() { d.cut(d.linksToWorkers(fmt.Sprintf("entry-%d", d.host()))...) }

func (d *planner) linksToWorkers(from string) (links []Link) {
	for range 1 + d.random.IntN(lo.Sum(d.Pools)/2) {
		links = append(links, Link{from, d.worker()})
	}
	return lo.Uniq(links)
}

// cutHosts cuts two entry hosts from one another, one way or both.
func (d *planner) cutHosts() {
	from := d.host()
	to := 1 + (from+d.random.IntN(d.Hosts-1))%d.Hosts
	a, b := fmt.Sprintf("entry-%d", from), fmt.Sprintf("entry-%d", to)
	d.cut([]Link{{a, b}, {b, a}}[:1+d.random.IntN(2)]...)
}

func (d *planner) cutStore() { d.cut(Link{fmt.Sprintf("entry-%d", d.host()), storeAddress}) }

func (d *planner) worker() string {
	n := 0
	for _, machines := range d.Pools {
		n += machines
	}
	return fmt.Sprintf("worker-%d", 1+d.random.IntN(n))
}

func (d *planner) store() {
	faults := []string{"slow", "silent", "deaf", "late"}
	if d.Mode == Requests {
		faults = []string{"slow", "down", "lose-answers", "lose-requests"}
	}
	if d.Mode != Requests && d.random.IntN(4) == 0 {
		d.add(0, Step{Action: []Action{Compact, Revoke}[d.random.IntN(2)]})
		return
	}
	d.add(0, Step{Action: Store, For: d.ms(500, 3500), Detail: faults[d.random.IntN(len(faults))]})
}

func (d *planner) configure() { d.add(0, Step{Action: Configure, Host: d.host()}) }

func (d *planner) move() {
	pool := poolName(d.random.IntN(len(d.Pools)))
	d.add(0, Step{Action: Move, Host: d.host(), Detail: d.worker() + " to " + pool})
}

func (d *planner) startWave() {
	d.add(0, Step{Action: StartWave, Host: d.host(), Detail: poolName(d.random.IntN(len(d.Pools) - 1))})
}

func poolName(i int) string { return fmt.Sprintf("pool-%d", i+1) }

func (d *planner) platformFault() {
	switch action := []Action{LoseAnswers, DelayOrders, Crash}[d.random.IntN(3)]; action {
	case Crash:
		d.add(0, Step{Action: Crash})
	default:
		d.add(0, Step{Action: action, For: d.ms(1000, 5000)})
	}
}

// String returns the readable plan.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %s: %d entry hosts, machines %v, %.1f a second for %v, wave cap %d\n",
		p.Seed, p.Mode, p.Hosts, p.Pools, p.Rate, p.Load, p.WaveCap)
	for _, s := range p.Steps {
		fmt.Fprintf(&b, "%8v  %-26s %s\n", s.At, s.Series, s)
	}
	return b.String()
}

// String describes the step.
func (s Step) String() string {
	switch {
	case s.Action == Impair:
		direction := []string{"requests", "answers"}[s.Impairment.Direction]
		if slices.Contains([]Harm{Refuse, Close}, s.Impairment.Harm) {
			direction = "connections"
		}
		return fmt.Sprintf("%s of %s of link %q to %s for %v", s.Impairment.Harm, direction, s.Impairment.Link.From, s.Impairment.Link.To, s.For)
	case s.Host > 0 && s.For > 0:
		return fmt.Sprintf("%s %s of entry-%d for %v", s.Action, s.Detail, s.Host, s.For)
	case s.Host > 0:
		return strings.TrimSpace(fmt.Sprintf("%s entry-%d %s", s.Action, s.Host, s.Detail))
	case s.For > 0:
		return fmt.Sprintf("%s %s for %v", s.Action, s.Detail, s.For)
	case s.Workers > 0:
		return fmt.Sprintf("%s %d", s.Action, s.Workers)
	}
	return string(s.Action)
}

// Name returns the kind of fault, as counted in Outcome.Faults.
func (s Step) Name() string {
	if s.Action == Impair {
		return "link " + string(s.Impairment.Harm)
	}
	if s.Action == Store {
		return "store " + s.Detail
	}
	return string(s.Action)
}
