package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Mode is what the entry hosts serve.
type Mode string

// The modes of entry hosts.
const (
	Jobs     Mode = "jobs"
	Requests Mode = "requests"
)

// Sizes bound what a plan draws.
type Sizes struct {
	// Hosts are entry hosts, Workers the machines of all pools; 0 draws a small number.
	Hosts, Workers int
	// Faults is how long faults are brought about.
	Faults time.Duration
}

// Plan is one run; it depends on its mode, seed and sizes only.
type Plan struct {
	Seed  uint64
	Mode  Mode
	Hosts int
	// Pools are the machines of each pool, the spare one last.
	Pools []int
	// Rate is jobs or requests a second, Load how long they are sent.
	Rate    float64
	Load    time.Duration
	WaveCap int
	Steps   []Step
}

// Action is what a step does.
type Action string

// The actions of steps.
const (
	Terminate Action = "SIGTERM"
	Kill      Action = "SIGKILL"
	Pause     Action = "SIGSTOP"
	Continue  Action = "SIGCONT"
	// Start starts a process whose predecessor has ended or is told to.
	Start Action = "start"
	// Harms is an impairment of a link for a time.
	Harms Action = "link"
	// Store is a fault of the store for a time, Platform one of answers and workers.
	Store   Action = "store"
	Compact Action = "compact"
	Revoke  Action = "revoke"
	Lose    Action = "lose-answers"
	Late    Action = "late-orders"
	Crash   Action = "crash-worker"
	Operate Action = "configure"
	// Move moves a worker to a pool, Maintain begins a wave; Detail says which.
	Move     Action = "move"
	Maintain Action = "wave"
)

// Step is one action. Host is counted from 1.
type Step struct {
	At     time.Duration
	Series string
	Action Action
	Host   int
	// For is how long a fault lasts, of kind Store as Detail says, of kind Harms as Impairment.
	For        time.Duration
	Detail     string
	Impairment Impairment
}

const (
	firstFault = 3 * time.Second
	// servedBound is how soon after the last fault everything is served again; the load goes on for a while after it.
	servedBound  = 12 * time.Second
	afterBound   = 5 * time.Second
	seriesGap    = 1200 // ms
	storeAddress = "store"
)

// drawing is a plan in the making.
type drawing struct {
	*Plan
	random *rand.Rand
	series string
	at     time.Duration
}

// Draw makes the plan of a seed.
func Draw(mode Mode, seed uint64, sizes Sizes) Plan {
	d := &drawing{Plan: &Plan{Seed: seed, Mode: mode}, random: rand.New(rand.NewPCG(seed, 7))} //nolint:gosec // repeatable
	d.Hosts = cmp.Or(sizes.Hosts, 3+d.random.IntN(3))
	workers := cmp.Or(sizes.Workers, 8+d.random.IntN(7))
	pools := 2 + d.random.IntN(2)
	for range pools {
		d.Pools = append(d.Pools, max(3, workers/pools))
	}
	d.Pools = append(d.Pools, 1+d.random.IntN(2))
	d.Rate = map[Mode]float64{Jobs: 3 + 2*d.random.Float64(), Requests: 40 + 40*d.random.Float64()}[mode]
	d.WaveCap = 1 + d.random.IntN(2)
	end := firstFault + sizes.Faults
	d.Load = end + servedBound + afterBound
	kinds := d.kinds()
	for at := firstFault; at < end; at += d.ms(seriesGap/2, 2*seriesGap) {
		kind := kinds[d.random.IntN(len(kinds))]
		d.series, d.at = kind.name, at
		kind.draw()
	}
	d.Steps = slices.DeleteFunc(d.Steps, func(s Step) bool { return s.At >= end && s.Action != Start && s.Action != Continue })
	slices.SortStableFunc(d.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return *d.Plan
}

// ms draws a time of so many milliseconds.
func (d *drawing) ms(from, to int) time.Duration {
	return time.Duration(from+d.random.IntN(to-from)) * time.Millisecond
}

func (d *drawing) host() int { return 1 + d.random.IntN(d.Hosts) }

// add adds a step after the last one.
func (d *drawing) add(after time.Duration, s Step) {
	d.at += after
	s.At, s.Series = d.at, d.series
	d.Steps = append(d.Steps, s)
}

type kind struct {
	name string
	draw func()
}

// kinds are the series of the mode, the frequent ones more than once.
func (d *drawing) kinds() []kind {
	all := []kind{
		{"second SIGTERM in a stop", d.secondTerm},
		{"paused across a takeover", d.pauseAcross},
		{"next owner killed", d.killNext},
		{"all ended", d.endAll},
		{"replaced at its address", d.replace},
		{"roll, configuration", d.roll},
		{"link", d.link},
		{"link", d.link},
		{"link", d.link},
		{"store", d.store},
		{"store", d.store},
		{"operator", d.operate},
	}
	if d.Mode == Jobs {
		all = append(all, kind{"answers and workers", d.platform})
	} else {
		all = append(all, kind{"move", d.move}, kind{"move", d.move}, kind{"wave", d.maintain})
	}
	return all
}

func (d *drawing) secondTerm() {
	h := d.host()
	d.add(0, Step{Action: Terminate, Host: h})
	d.add(d.ms(50, 1500), Step{Action: Terminate, Host: h})
	d.add(d.ms(100, 800), Step{Action: Start, Host: h})
}

func (d *drawing) pauseAcross() {
	h := d.host()
	d.add(0, Step{Action: Pause, Host: h})
	if d.random.IntN(2) == 0 {
		other := d.host()
		d.add(d.ms(100, 2000), Step{Action: Kill, Host: other})
		d.add(d.ms(0, 500), Step{Action: Start, Host: other})
	}
	d.add(d.ms(1000, 5000), Step{Action: Continue, Host: h})
}

func (d *drawing) killNext() {
	first, second := d.host(), d.host()
	d.add(0, Step{Action: Kill, Host: first})
	d.add(d.ms(1500, 3500), Step{Action: Kill, Host: second})
	d.add(d.ms(100, 1500), Step{Action: Start, Host: first})
	d.add(0, Step{Action: Start, Host: second})
}

// endAll ends all entry hosts within a second, by one signal or some by each.
func (d *drawing) endAll() {
	signals := [][]Action{{Kill}, {Terminate}, {Kill, Terminate}}[d.random.IntN(3)]
	for h := 1; h <= d.Hosts; h++ {
		d.add(d.ms(0, 900/d.Hosts+1), Step{Action: signals[d.random.IntN(len(signals))], Host: h})
	}
	d.add(d.ms(0, 2000), Step{Action: Start, Host: 1})
	for h := 2; h <= d.Hosts; h++ {
		d.add(0, Step{Action: Start, Host: h})
	}
}

func (d *drawing) replace() {
	h := d.host()
	for range 1 + d.random.IntN(2) {
		d.add(d.ms(0, 700), Step{Action: Kill, Host: h})
		d.add(0, Step{Action: Start, Host: h})
	}
}

func (d *drawing) roll() {
	d.operate()
	for h := 1; h <= min(d.Hosts, 4); h++ {
		d.add(d.ms(300, 1500), Step{Action: Terminate, Host: h})
		d.add(0, Step{Action: Start, Host: h})
	}
	d.operate()
}

func (d *drawing) link() {
	h := fmt.Sprintf("entry-%d", d.host())
	links := []Link{
		{h, storeAddress}, {h, storeAddress}, {h, fmt.Sprintf("entry-%d", d.host())}, {h, d.worker()}, {"", h},
	}
	if d.Mode == Requests { // all entry hosts reach workers by one link, and one another past the proxy
		links = []Link{{h, storeAddress}, {h, storeAddress}, {"", d.worker()}, {"", h}}
	}
	i := Impairment{
		Link: links[d.random.IntN(len(links))], Way: Way(d.random.IntN(2)),
		Harm: []Harm{Delay, Silence, Cut, Reset}[d.random.IntN(4)], Delay: d.ms(20, 400),
	}
	d.add(0, Step{Action: Harms, For: d.ms(500, 5000), Impairment: i})
}

func (d *drawing) worker() string {
	n := 0
	for _, machines := range d.Pools {
		n += machines
	}
	return fmt.Sprintf("worker-%d", 1+d.random.IntN(n))
}

func (d *drawing) store() {
	faults := []string{"slow", "silent", "deaf", "late"}
	if d.Mode == Requests {
		faults = []string{"slow", "down", "lose-answers", "lose-requests"}
	}
	if d.Mode == Jobs && d.random.IntN(4) == 0 {
		d.add(0, Step{Action: []Action{Compact, Revoke}[d.random.IntN(2)]})
		return
	}
	d.add(0, Step{Action: Store, For: d.ms(500, 3500), Detail: faults[d.random.IntN(len(faults))]})
}

func (d *drawing) operate() { d.add(0, Step{Action: Operate, Host: d.host()}) }

func (d *drawing) move() {
	pool := poolName(d.random.IntN(len(d.Pools)))
	d.add(0, Step{Action: Move, Host: d.host(), Detail: d.worker() + " to " + pool})
}

func (d *drawing) maintain() {
	d.add(0, Step{Action: Maintain, Host: d.host(), Detail: poolName(d.random.IntN(len(d.Pools) - 1))})
}

func poolName(i int) string { return fmt.Sprintf("pool-%d", i+1) }

func (d *drawing) platform() {
	switch action := []Action{Lose, Late, Crash}[d.random.IntN(3)]; action {
	case Crash:
		d.add(0, Step{Action: Crash})
	default:
		d.add(0, Step{Action: action, For: d.ms(1000, 5000)})
	}
}

// String is the plan for people.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %s: %d entry hosts, machines %v, %.1f a second for %v, wave cap %d\n",
		p.Seed, p.Mode, p.Hosts, p.Pools, p.Rate, p.Load, p.WaveCap)
	for _, s := range p.Steps {
		fmt.Fprintf(&b, "%8v  %-26s %s\n", s.At, s.Series, s)
	}
	return b.String()
}

// String is what a step does.
func (s Step) String() string {
	switch {
	case s.Action == Harms:
		way := []string{"requests", "answers"}[s.Impairment.Way]
		return fmt.Sprintf("%s of %s of link %q to %s for %v", s.Impairment.Harm, way, s.Impairment.Link.From, s.Impairment.Link.To, s.For)
	case s.Host > 0:
		return strings.TrimSpace(fmt.Sprintf("%s entry-%d %s", s.Action, s.Host, s.Detail))
	case s.For > 0:
		return fmt.Sprintf("%s %s for %v", s.Action, s.Detail, s.For)
	}
	return string(s.Action)
}

// Name is the kind of fault, for counts.
func (s Step) Name() string {
	if s.Action == Harms {
		return "link " + string(s.Impairment.Harm)
	}
	if s.Action == Store {
		return "store " + s.Detail
	}
	return string(s.Action)
}
