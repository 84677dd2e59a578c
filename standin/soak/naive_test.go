package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/samber/lo"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/standin/callers"
	"github.com/agateturn/agateturn/standin/jobplatform"
	"github.com/agateturn/agateturn/standin/workers"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// defect is the safeguard that a faulty variant lacks.
type defect string

const (
	noDefect       defect = "none"
	unsharedKeys   defect = "keys not shared between hosts"
	retries        defect = "retried after a broken connection"
	falseNotRun    defect = "not run for any broken connection"
	noSlots        defect = "no slot limit"
	noDrain        defect = "moved without a drain"
	abortsAtStop   defect = "planned stop aborts requests"
	wrongAnswer    defect = "answer of another request"
	reverts        defect = "configuration reverts"
	notStaged      defect = "change not staged on all hosts"
	noRecovery     defect = "no recovery"
	variantSlots          = 2
	variantHosts          = 2
	variantWorkers        = 4
	variantLoad           = 1500 * time.Millisecond
	variantRunTime        = 30 * time.Millisecond
	// slotWait is how long a request waits for a slot.
	slotWait = 500 * time.Millisecond
)

// faultyHosts is a set of entry hosts in this process that have one defect.
type faultyHosts struct {
	defect  defect
	fleet   *workers.Fleet
	client  *http.Client
	servers []*httptest.Server
	begin   time.Time

	mu          sync.Mutex
	keys        []map[string]bool // by entry host; shared except for unsharedKeys
	running     map[int]int       // by worker
	moved       bool
	generations []uint64
}

func newFaultyHosts(t *testing.T, d defect) *faultyHosts {
	t.Helper()
	n := &faultyHosts{defect: d, running: make(map[int]int), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	ctx, cancel := context.WithCancel(context.Background())
	var err error
	n.fleet, err = workers.New(ctx, workers.Options{
		Hosts: lo.Times(variantWorkers, func(i int) *pb.Host {
			return &pb.Host{Name: fmt.Sprintf("w%d", i), Address: "127.0.0.1:0", Pool: poolOf(i)}
		}),
		AdminAddress: "127.0.0.1:0", DefaultRunTime: workers.RunTime{Median: variantRunTime},
	})
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- n.fleet.Serve(ctx) }()
	shared := make(map[string]bool)
	for i := range variantHosts {
		n.keys = append(n.keys, lo.Ternary(d == unsharedKeys, make(map[string]bool), shared))
		n.generations = append(n.generations, 1)
		n.servers = append(n.servers, httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.serve(i, w, r) })))
	}
	t.Cleanup(func() {
		for _, s := range n.servers {
			s.Close()
		}
		cancel()
		assert.Check(t, <-served)
	})
	return n
}

func poolOf(worker int) string { return []string{"left", "right"}[worker%2] }

func (n *faultyHosts) serve(host int, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/readyz" {
		return
	}
	answer := func(status int, outcome string) {
		w.Header().Set("Agateturn-Outcome", outcome)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(status)
	}
	worker, ok := 0, false
	for begin := time.Now(); !ok && time.Since(begin) < slotWait; time.Sleep(time.Millisecond) {
		worker, ok = n.admit(host, strings.Split(r.URL.Path, "/")[3], r.Header.Get("Idempotency-Key"))
	}
	switch {
	case !ok, n.defect == noRecovery && time.Since(n.begin) > variantLoad/2:
		answer(http.StatusServiceUnavailable, "not-run")
		return
	case worker < 0:
		answer(http.StatusConflict, "unknown")
		return
	}
	defer n.release(worker)
	response, err := n.send(worker, r)
	if err != nil && n.defect == retries {
		response, err = n.send(worker, r)
	}
	if err != nil {
		answer(http.StatusBadGateway, lo.Ternary(n.defect == falseNotRun, "not-run", "unknown"))
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Agateturn-Outcome", "done")
	w.Header().Set("Agateturn-Request-Id", r.Header.Get("Agateturn-Request-Id"))
	_, _ = io.Copy(w, response.Body)
}

// admit selects a worker and takes one of its slots; worker is negative for a known key.
func (n *faultyHosts) admit(host int, service, key string) (worker int, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if key != "" && n.keys[host][key] {
		return -1, true
	}
	for w := range variantWorkers {
		of := poolOf(w)
		if n.moved && w == 0 {
			of = "right"
		}
		if of == service && (n.running[w] < variantSlots || n.defect == noSlots) {
			n.running[w]++
			if key != "" {
				n.keys[host][key] = true
			}
			return w, true
		}
	}
	return 0, false
}

func (n *faultyHosts) release(worker int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running[worker]--
}

func (n *faultyHosts) send(worker int, r *http.Request) (*http.Response, error) {
	name := fmt.Sprintf("w%d", worker)
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+n.fleet.Address(name)+r.URL.RequestURI(), nil)
	if err != nil {
		return nil, err
	}
	request.Header = r.Header.Clone()
	if n.defect == wrongAnswer {
		request.Header.Set("Agateturn-Request-Id", "another")
	}
	request.Header.Set("Agateturn-Service", strings.Split(r.URL.Path, "/")[3])
	request.Header.Set("Agateturn-Pool", strings.Split(r.URL.Path, "/")[3])
	return n.client.Do(request)
}

// run sends a load and returns the observations.
func (n *faultyHosts) run(t *testing.T) Seen {
	t.Helper()
	n.begin = time.Now()
	s := Seen{Slots: variantSlots, Targets: map[string]int{}, Calm: n.begin.Add(-recoveryBound + variantLoad*2/3)}
	config := callers.Default()
	for i, server := range n.servers {
		address := strings.TrimPrefix(server.URL, "http://")
		s.Targets[address] = i + 1
		config.Targets = append(config.Targets, callers.Target{Address: address, Weight: 1})
	}
	config.Services = []callers.Service{{Name: "left", Rate: 30}, {Name: "right", Rate: 30}}
	config.Duration, config.BurstLength, config.SessionShare = variantLoad, variantLoad, 0
	config.BurstFactor, config.IdleFactor, config.KeyedShare, config.RepeatShare = 1, 1, 0.5, 1
	config.Timeout = time.Second
	config.Trace = func(e callers.Exchange) { s.Exchanges = append(s.Exchanges, e) }
	if n.defect == retries || n.defect == falseNotRun {
		assert.Assert(t, n.fleet.SetFaults("w0", workers.Faults{CloseAfterRead: true, Share: 0.2}))
	}
	var events sync.WaitGroup
	events.Go(func() { n.events(&s) })
	_, err := callers.Run(t.Context(), config)
	assert.NilError(t, err)
	events.Wait()
	s.Records, s.Counts = n.fleet.Records(), n.fleet.Counts()
	return s
}

// events triggers the defects that need an event: a move, a planned stop or a configuration change.
func (n *faultyHosts) events(s *Seen) {
	time.Sleep(variantLoad / 3)
	switch n.defect { //nolint:exhaustive // other defects need no event
	case noDrain:
		for s.Moves = range 20 { // until a request is in progress
			n.mu.Lock()
			n.moved = !n.moved
			n.mu.Unlock()
			time.Sleep(variantRunTime)
		}
	case abortsAtStop:
		s.Events = append(s.Events, Event{At: time.Now(), Until: time.Now(), Host: 1, Action: Terminate})
		for range 20 { // until a request is in progress
			n.servers[0].CloseClientConnections()
			time.Sleep(variantRunTime / 3)
		}
	case reverts, notStaged:
		n.generations[0]++
		s.Accepted = append(s.Accepted, Accepted{At: n.begin.Add(-configBound), Generation: 2})
		s.Calm = n.begin.Add(-configBound)
	}
	n.recordViews(s)
	if n.defect == reverts || n.defect == notStaged {
		n.generations[0]--
	}
	if n.defect == notStaged {
		s.Views = lo.Filter(s.Views, func(v View, _ int) bool { return v.Host == 2 })
	}
	n.recordViews(s)
}

func (n *faultyHosts) recordViews(s *Seen) {
	for i, generation := range n.generations {
		s.Views = append(s.Views, View{At: time.Now(), Host: i + 1, Life: 1, Generation: generation})
	}
}

// TestFaultyEntryHostsAreDetected runs entry hosts that lack one safeguard each; Check reports the violated guarantee.
func TestFaultyEntryHostsAreDetected(t *testing.T) {
	want := map[defect]string{
		noDefect: "", unsharedKeys: "ran 2 times", retries: "ran 2 times", falseNotRun: "ran and was answered not run",
		noSlots: "requests at once on 2 slots", noDrain: "requests of two pools at once", abortsAtStop: "no unplanned fault was near",
		wrongAnswer: "is wrong", reverts: "went back from generation 2 to 1", notStaged: "generation 2 was accepted, entry-2 has 1",
		noRecovery: "requests served",
	}
	for d, text := range want {
		t.Run(string(d), func(t *testing.T) {
			violations, checked := Check(newFaultyHosts(t, d).run(t))
			found := strings.Join(lo.Map(violations, func(f Violation, _ int) string { return f.Text }), "\n")
			assert.Assert(t, checked["answers"] > 0)
			assert.Assert(t, strings.Contains(found, text), "%s", found)
			assert.Assert(t, (len(violations) > 0) == (d != noDefect), "%s", found)
		})
	}
}

// echoLink returns a proxy with a link to a server that echoes.
func echoLink(t *testing.T, link Link) *Proxy {
	t.Helper()
	echo, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var served sync.WaitGroup
	served.Go(func() {
		for c, err := echo.Accept(); err == nil; c, err = echo.Accept() {
			served.Go(func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			})
		}
	})
	p := NewProxy()
	assert.NilError(t, p.Listen(t.Context(), link, "127.0.0.1:0", echo.Addr().String()))
	t.Cleanup(func() {
		p.Close()
		_ = echo.Close()
		served.Wait()
	})
	return p
}

// TestProxyImpairments echoes a line over a link of which one direction is impaired.
func TestProxyImpairments(t *testing.T) {
	link := Link{"a", "b"}
	p := echoLink(t, link)
	for name, test := range map[string]struct {
		impairment Impairment
		got        int // bytes of the line that are echoed during the impairment
		survives   bool
	}{
		"other caller": {Impairment{Link: Link{"c", "b"}, Harm: Stall}, 8, true},
		"delay":        {Impairment{Link: link, Harm: Delay, Delay: 50 * time.Millisecond}, 8, true},
		"silence":      {Impairment{Link: link, Direction: Backward, Harm: Stall}, 0, true},
		"cut":          {Impairment{Link: link, Harm: Cut}, 0, false},
		"reset":        {Impairment{Link: Link{"", "b"}, Direction: Backward, Harm: Reset}, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.endpoints[0].address)
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			end := p.Impair(t.Context(), test.impairment)
			_, err = io.WriteString(c, "one line")
			assert.NilError(t, err)
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
			line := make([]byte, len("one line"))
			got, _ := io.ReadFull(c, line)
			assert.Assert(t, got == test.got || test.impairment.Harm == Reset && got < len(line), "%d bytes", got)
			assert.NilError(t, end())
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			_, _ = io.WriteString(c, "and more")
			_, err = io.ReadFull(c, line)
			assert.Equal(t, err == nil, test.survives, "%v", err)
		})
	}
}

// TestProxyRefusals checks what the client of a link sees of new and open connections while the link refuses them, and after.
func TestProxyRefusals(t *testing.T) {
	link := Link{"a", "b"}
	p := echoLink(t, link)
	dial := func() (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.endpoints[0].address)
		if err == nil {
			t.Cleanup(func() { _ = c.Close() })
			// Only the first call after a reset returns it; a read after that returns io.EOF.
			if _, err = io.WriteString(c, "a"); err == nil {
				_, err = io.ReadFull(c, make([]byte, 1))
			}
		}
		return c, err
	}
	for harm, want := range map[Harm]error{Refuse: syscall.ECONNRESET, Close: syscall.ECONNREFUSED} {
		open, err := dial()
		assert.NilError(t, err)
		end := p.Impair(t.Context(), Impairment{Link: Link{"", "b"}, Harm: harm})
		endSecond := p.Impair(t.Context(), Impairment{Link: link, Harm: harm})
		_, err = io.ReadFull(open, make([]byte, 1))
		assert.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = dial()
		assert.ErrorIs(t, err, want)
		assert.NilError(t, end())
		_, err = dial()
		assert.ErrorIs(t, err, want, "one of two impairments ended")
		assert.NilError(t, endSecond())
		_, err = dial()
		assert.NilError(t, err)
	}
}

// TestBreaksAfterReadRequests closes connections before and after a request was read and answered.
func TestBreaksAfterReadRequests(t *testing.T) {
	for name, test := range map[string]struct {
		serve  func(net.Conn)
		breaks int
	}{
		"read":        {func(c net.Conn) { _, _ = c.Read(make([]byte, 8)) }, 1},
		"not read":    {func(net.Conn) { time.Sleep(100 * time.Millisecond) }, 0},
		"answered":    {func(c net.Conn) { _, _ = io.CopyN(c, c, 8) }, 0},
		"partly read": {func(c net.Conn) { _, _ = c.Read(make([]byte, 4)) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			target, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = target.Close() }()
			p := NewProxy()
			defer p.Close()
			assert.NilError(t, p.Listen(t.Context(), Link{callersName, "entry-1"}, "127.0.0.1:0", target.Addr().String()))
			c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.endpoints[0].address)
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			called, err := target.Accept()
			assert.NilError(t, err)
			_, err = io.WriteString(c, "one line")
			assert.NilError(t, err)
			test.serve(called)
			assert.NilError(t, called.Close())
			_, _ = io.ReadAll(c)
			found, n := unexplainedBreaks(p.Breaks(), nil)
			assert.Equal(t, n, test.breaks)
			assert.Equal(t, len(found), test.breaks)
			began := time.Now().Add(-time.Second)
			found, _ = unexplainedBreaks(p.Breaks(), []Event{{At: began, Until: began, Host: 1, Action: Kill}})
			assert.Equal(t, len(found), 0)
		})
	}
}

// TestPlansAreDeterministic checks that a seed always gives the same plan, and that the plans of some seeds contain every series.
func TestPlansAreDeterministic(t *testing.T) {
	for _, mode := range []Mode{Jobs, Requests, Cuts, Takeovers, Refusals} {
		series := map[string]bool{}
		for seed := range uint64(40) {
			p := Draw(mode, seed, Sizes{Faults: 12 * time.Second})
			assert.Equal(t, p.String(), Draw(mode, seed, Sizes{Faults: 12 * time.Second}).String())
			for _, s := range p.Steps {
				series[s.Series] = true
			}
		}
		assert.Equal(t, len(series), map[Mode]int{Jobs: 10, Requests: 11, Cuts: 12, Takeovers: 15, Refusals: 16}[mode])
	}
}

// TestLateRecoveryAndOldConfigurationsAreDetected feeds a history with observations that violate the bounds.
func TestLateRecoveryAndOldConfigurationsAreDetected(t *testing.T) {
	for text, observe := range map[string]func(*jobplatform.History){
		"was not accepted (503)": func(h *jobplatform.History) { h.Attempt("j", time.Now(), http.StatusServiceUnavailable, false) },
		"no start within":        func(h *jobplatform.History) { h.CheckServed([]string{"left"}) },
		"went back from version 2": func(h *jobplatform.History) {
			h.Configured("e", 1, 2)
			h.Configured("e", 1, 1)
		},
		"has version 1": func(h *jobplatform.History) {
			h.Configured("e", 1, 1)
			h.CheckConfigured([]string{"e"}, 2)
		},
	} {
		h := jobplatform.NewHistory()
		h.EntryStarted("e")
		h.Calm(time.Now().Add(-time.Minute))
		observe(h)
		_, violations := h.Verdict()
		assert.Assert(t, len(violations) == 1 && strings.Contains(violations[0], text), "%q", violations)
	}
}
