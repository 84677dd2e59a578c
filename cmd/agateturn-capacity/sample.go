package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/capacity"
)

// sampleCommand measures one state of a running deployment in several consecutive windows.
type sampleCommand struct {
	Series   string        `required:"" help:"Name of the series of sizes."`
	State    string        `required:"" help:"Activity during the windows: idle, config, moves, wave, timing, or any other name for activity that the caller causes."`
	Hosts    int           `required:"" help:"Workers."`
	Pools    int           `required:"" help:"Pools."`
	Teams    int           `required:"" help:"Teams."`
	Daemons  string        `required:"" type:"existingfile" help:"File with a line for each daemon: name, process id, operator address."`
	Platform string        `required:"" help:"Address of the platform's stand-in, http://ip:port."`
	Token    string        `required:"" env:"AGATETURN_TOKEN" help:"Operator token."`
	Window   time.Duration `default:"4s" help:"Length of a window."`
	Windows  int           `default:"3" help:"Number of windows."`
	Changes  int           `default:"2" help:"Changes in a window."`
	First    int           `default:"0" help:"Number of the first host that may be moved or maintained."`
	Started  bool          `help:"Count from the daemons' start and the last reset of the store's counters; for a single window."`
	Out      string        `required:"" help:"File that the samples are appended to."`
}

// Run measures the windows.
func (c *sampleCommand) Run(ctx context.Context) error {
	daemons, err := readDaemons(c.Daemons)
	if err != nil {
		return err
	}
	m := &measurement{sampleCommand: c, daemons: daemons, operator: operator{address: daemons[0].operator, token: c.Token}, next: c.First}
	for run := range c.Windows {
		values, err := m.window(ctx)
		if err != nil {
			return fmt.Errorf("window %d: %w", run, err)
		}
		if err := m.write(run+1, values); err != nil {
			return err
		}
	}
	return nil
}

// measurement is one state being measured.
type measurement struct {
	*sampleCommand
	daemons  []daemon
	operator operator
	next     int // number of the next host to move or maintain
}

func (m *measurement) window(ctx context.Context) (map[string]float64, error) {
	if m.State == "timing" {
		return m.timings(ctx)
	}
	statusBefore, err := m.operator.status(ctx)
	if err != nil {
		return nil, err
	}
	before, err := m.startWindow(ctx)
	if err != nil {
		return nil, err
	}
	if err := m.makeChanges(ctx); err != nil {
		return nil, err
	}
	if err := sleep(ctx, time.Until(before.at.Add(m.Window))); err != nil {
		return nil, err
	}
	after, err := m.read(ctx)
	if err != nil {
		return nil, err
	}
	statusAfter, err := m.operator.status(ctx)
	if err != nil {
		return nil, err
	}
	values := m.compare(before, after)
	values["revisions"] = float64(statusAfter.FleetRevision - statusBefore.FleetRevision)
	values["generations"] = float64(statusAfter.Generation - statusBefore.Generation)
	return values, nil
}

// startWindow reads the counters at the start of the window.
func (m *measurement) startWindow(ctx context.Context) (totals, error) {
	if m.Started {
		zero := make([]reading, len(m.daemons))
		return totals{at: time.Now().Add(-m.Window), readings: zero, store: map[string]float64{}}, nil
	}
	if _, err := call(ctx, http.MethodPost, m.Platform+resetPath, "", nil); err != nil {
		return totals{}, err
	}
	return m.read(ctx)
}

// makeChanges makes the window's changes.
func (m *measurement) makeChanges(ctx context.Context) error {
	switch m.State {
	case "config":
		for range m.Changes {
			if _, err := m.operator.applyChange(ctx); err != nil {
				return err
			}
		}
	case "moves":
		for range m.Changes {
			if err := m.operator.moveHost(ctx, m.nextHost(), poolName(m.Pools)); err != nil {
				return err
			}
		}
	case "wave":
		return m.operator.createWave(ctx, lo.Times(m.Changes, func(int) string { return m.nextHost() }))
	}
	return nil
}

// nextHost returns the name of a host that was not moved or maintained before. Consecutive hosts are of different pools
// if there are enough pools.
func (m *measurement) nextHost() string {
	perPool := m.Hosts / m.Pools
	pools := m.Pools - 1 // the last is the spare pool
	n := m.next
	m.next++
	return fmt.Sprintf("host-%d", (n%pools)*perPool+n/pools%perPool+2)
}

// timings measures the durations of a roll-out and of a move.
func (m *measurement) timings(ctx context.Context) (map[string]float64, error) {
	rollOut, err := m.operator.timeRollOut(ctx)
	if err != nil {
		return nil, err
	}
	move, err := m.operator.timeMove(ctx, m.nextHost(), poolName(m.Pools))
	return map[string]float64{"roll_out_s": rollOut.Seconds(), "move_s": move.Seconds()}, err
}

// totals holds all counters at one point in time.
type totals struct {
	at       time.Time
	readings []reading
	store    map[string]float64
	waiting  float64
	peak     map[string]float64
}

func (m *measurement) read(ctx context.Context) (totals, error) {
	t := totals{at: time.Now()}
	for _, d := range m.daemons {
		r, err := d.read(ctx)
		if err != nil {
			return t, fmt.Errorf("%s: %w", d.name, err)
		}
		t.readings = append(t.readings, r)
	}
	counters, err := storeCounters(ctx, m.Platform)
	t.store = map[string]float64{
		"store_reads":   float64(counters.Store.Total.Reads),
		"store_writes":  float64(counters.Store.Total.Writes),
		"store_watches": float64(counters.Store.Total.Watches),
		"store_leases":  float64(counters.Store.Total.Leases),
	}
	peak := counters.Store.PeakSecond
	t.peak = map[string]float64{
		"store_reads_peak":   float64(peak.Reads),
		"store_writes_peak":  float64(peak.Writes),
		"store_watches_peak": float64(peak.Watches),
		"store_leases_peak":  float64(peak.Leases),
	}
	t.waiting = float64(counters.Store.Waiting)
	return t, err
}

// compare returns the rates of the window: the mean and the maximum over the daemons.
func (m *measurement) compare(before, after totals) map[string]float64 {
	seconds := after.at.Sub(before.at).Seconds()
	values := map[string]float64{"seconds": seconds, "store_waiting": after.waiting}
	add := func(name string, of func(before, after reading) float64) {
		each := lo.Map(after.readings, func(r reading, i int) float64 { return of(before.readings[i], r) })
		values[name] = lo.Mean(each)
		values[name+"_max"] = lo.Max(each)
	}
	add("cpu_percent", func(b, a reading) float64 { return 100 * (a.cpuSeconds - b.cpuSeconds) / seconds })
	add("rss_mb", func(_, a reading) float64 { return a.rssBytes / bytesPerMB })
	add("heap_mb", func(_, a reading) float64 { return a.metrics["agateturn_heap_live_bytes"] / bytesPerMB })
	for _, kind := range []string{"peers", "store", "platform"} {
		add(kind+"_kb_s", func(b, a reading) float64 { return (a.traffic(kind) - b.traffic(kind)) / seconds / bytesPerKB })
	}
	add("requests_s", func(b, a reading) float64 { return (a.metrics["requests"] - b.metrics["requests"]) / seconds })
	maps.Copy(values, after.peak)
	for name, value := range after.store {
		values[name+"_s"] = (value - before.store[name]) / seconds
	}
	return values
}

func (m *measurement) write(run int, values map[string]float64) error {
	file, err := os.OpenFile(m.Out, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	samples := lo.MapToSlice(values, func(name string, value float64) capacity.Sample {
		return capacity.Sample{
			Series: m.Series, State: m.State, Run: run, Measure: name, Value: value,
			Size: capacity.Size{Hosts: m.Hosts, EntryHosts: len(m.daemons), Pools: m.Pools, Teams: m.Teams},
		}
	})
	if err := writeSamples(file, samples); err != nil {
		return err
	}
	return file.Close()
}
