package jobplatform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

const (
	machineTick   = 10 * time.Millisecond
	headerTimeout = 5 * time.Second
	perRack       = 2
)

// MaxMachines is the number of worker addresses and the page size of the machine list.
const MaxMachines = 400

// Options configure a Platform.
type Options struct {
	// Address is the ip:port of the store and of the machine API.
	Address string
	// Network is the first three bytes of the workers' addresses, such as 127.70.100; WorkerPort is the first of their ports.
	Network    string
	WorkerPort int
	// Views are further networks, textually as long as Network, for clients that reach all addresses through them. The store
	// and the machine API are also served at the ports after that of Address, one for each view.
	Views []string
	// Pools have at most MaxMachines machines in total.
	Pools []PoolOptions
}

// PoolOptions configure a pool and its initial number of machines.
type PoolOptions struct {
	Name             string
	Machines         int
	EnforcesCapacity bool
	Spare            bool
}

// Platform is safe for concurrent use.
type Platform struct {
	options     Options
	kv          *memtxn.Store
	history     *History
	machines    []*machine
	faults      *faults
	traffic     traffic
	silentUntil atomic.Int64
	// lapse is set until the registry has removed all entries.
	lapse     atomic.Bool
	listeners []net.Listener
	servers   []*http.Server

	mu    sync.Mutex
	waves map[int64]*wave
}

// New returns a Platform that listens on its addresses; Run serves them.
func New(ctx context.Context, o Options) (*Platform, error) {
	p := &Platform{options: o, kv: memtxn.New(), history: NewHistory(), faults: &faults{}, waves: make(map[int64]*wave)}
	p.kv.SetFaults(memtxn.Faults{Plan: p.plan})
	for i, clientNetwork := range append([]string{o.Network}, o.Views...) {
		if err := p.listenStore(ctx, i, clientNetwork); err != nil {
			return nil, err
		}
	}
	pools := make(map[string]PoolOptions)
	for _, pool := range o.Pools {
		pools[pool.Name] = pool
	}
	for _, pool := range o.Pools {
		for range pool.Machines {
			m := p.newMachine(pool.Name, pools)
			if err := p.listen(ctx, m.address, &http.Server{Handler: m.serveOrders(), ConnState: m.trackConnection, ReadHeaderTimeout: headerTimeout}); err != nil {
				return nil, err
			}
			p.machines = append(p.machines, m)
		}
	}
	return p, nil
}

// listenStore listens for the clients of one view of the store and the machine API.
func (p *Platform) listenStore(ctx context.Context, view int, clientNetwork string) error {
	mux := http.NewServeMux()
	kvServer{kv: p.kv.Client(entryHostClients + clientNetwork), network: p.options.Network + ".", clientNetwork: clientNetwork + "."}.route(mux)
	p.routeMachines(mux)
	address, err := netip.ParseAddrPort(p.options.Address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return p.listen(ctx, netip.AddrPortFrom(address.Addr(), address.Port()+uint16(view)).String(), server) //nolint:gosec // few views
}

// The last bytes of the workers' addresses run from firstWorker through workerBytes values; further machines use the next port.
const (
	firstWorker = 20
	workerBytes = 70
)

func (p *Platform) newMachine(pool string, pools map[string]PoolOptions) *machine {
	n := len(p.machines)
	m := &machine{
		id: fmt.Sprintf("m%02d", n+1), zone: "zone-1", rack: fmt.Sprintf("rack-%d", n/perRack+1), number: n + 1,
		address:  fmt.Sprintf("%s.%d:%d", p.options.Network, firstWorker+n%workerBytes, p.options.WorkerPort+n/workerBytes),
		capacity: capacity{CPU: 4000, MemMB: 8192}, history: p.history, pools: pools, faults: p.faults,
		pool: pool, upkeepWaves: make(map[int64]bool), connections: make(map[net.Conn]bool),
	}
	m.startWorkerLocked()
	return m
}

func (p *Platform) listen(ctx context.Context, address string, server *http.Server) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		p.closeListeners()
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	p.listeners = append(p.listeners, listener)
	p.servers = append(p.servers, server)
	return nil
}

func (p *Platform) closeListeners() {
	for _, l := range p.listeners {
		_ = l.Close() // the listener is no longer served
	}
}

// Run serves until ctx is done.
func (p *Platform) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, server := range p.servers {
		server.BaseContext = func(net.Listener) context.Context { return ctx }
		group.Go(func() error { return server.Serve(p.listeners[i]) })
		group.Go(func() error {
			<-ctx.Done()
			return server.Close()
		})
	}
	group.Go(func() error { return p.every(ctx, machineTick, p.tickMachines) })
	r := registry{kv: p.kv.Client("workers"), entries: make(map[string]*registration), lapse: &p.lapse}
	group.Go(func() error {
		return p.every(ctx, registryTick, func(now time.Time) error { return r.report(ctx, p.machines, now) })
	})
	if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (p *Platform) every(ctx context.Context, interval time.Duration, do func(time.Time) error) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if err := do(now); err != nil && ctx.Err() == nil {
				return err
			}
		}
	}
}

func (p *Platform) tickMachines(now time.Time) error {
	for _, m := range p.machines {
		m.tick(now)
	}
	return nil
}

// History returns the history of all events so far.
func (p *Platform) History() *History { return p.history }

// Items returns the current items of the store below a prefix, unaffected by faults.
func (p *Platform) Items(prefix string) []store.Item { return p.kv.Items(prefix) }

// Machines returns the ids of all machines.
func (p *Platform) Machines() []string {
	ids := make([]string, 0, len(p.machines))
	for _, m := range p.machines {
		ids = append(ids, m.id)
	}
	return ids
}

func (p *Platform) machine(id string) *machine {
	for _, m := range p.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}
