// Package workers simulates the workers: upstream hosts that run requests, keep a record of each, and inject faults on
// demand.
//
// All workers of a deployment run in one process, each with its own listener; one more listener serves the admin API.
// The workers enforce no limits: they run every request that reaches them. Fleet is safe for concurrent use.
package workers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"golang.org/x/sync/errgroup"
)

// Options configure a Fleet.
type Options struct {
	// Hosts are the workers; port 0 in an address selects a free port.
	Hosts []*pb.Host
	// AdminAddress is the ip:port of the admin API. It must be a loopback address.
	AdminAddress string
	// Seed makes the run times and the choice of faulty answers repeatable.
	Seed uint64
	// RunTimes are the run times by the pool that a host starts in.
	RunTimes map[string]RunTime
	// DefaultRunTime applies to pools that are not in RunTimes.
	DefaultRunTime RunTime
	// MaxRecords limits the number of records kept; 0 means DefaultMaxRecords.
	MaxRecords int
}

// DefaultMaxRecords is the default of Options.MaxRecords.
const DefaultMaxRecords = 1_000_000

// adminHeaderTimeout bounds the time to read the header of an admin request.
const adminHeaderTimeout = 5 * time.Second

// RunTime is a log-normal distribution of run times.
type RunTime struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; 0 makes every run time the median.
	Sigma float64
}

// Fleet is a set of simulated workers.
type Fleet struct {
	records *records
	workers map[string]*worker
	admin   net.Listener
}

// Run creates a Fleet and serves it until the context ends.
func Run(ctx context.Context, options Options) error {
	fleet, err := New(ctx, options)
	if err != nil {
		return err
	}
	return fleet.Serve(ctx)
}

// New opens the listeners. Serve must be called to answer requests and to close them.
func New(ctx context.Context, options Options) (*Fleet, error) {
	if err := checkLoopback(options.AdminAddress); err != nil {
		return nil, err
	}
	if options.MaxRecords <= 0 {
		options.MaxRecords = DefaultMaxRecords
	}
	f := &Fleet{records: newRecords(options.MaxRecords), workers: map[string]*worker{}}
	admin, err := listen(ctx, options.AdminAddress)
	if err != nil {
		return nil, err
	}
	f.admin = admin
	for i, host := range options.Hosts {
		w, err := newWorker(ctx, host, options, uint64(i), f.records)
		if err != nil {
			f.close()
			return nil, err
		}
		f.workers[host.GetName()] = w
	}
	return f, nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

func checkLoopback(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("workers: admin address %q is not an ip:port: %w", address, err)
	}
	if !at.Addr().IsLoopback() {
		return fmt.Errorf("workers: admin address %s is not a loopback address; use 127.0.0.1", address)
	}
	return nil
}

// Admin returns the address of the admin API.
func (f *Fleet) Admin() string {
	return f.admin.Addr().String()
}

// Address returns the address of a worker, or "" if it is unknown.
func (f *Fleet) Address(host string) string {
	if w, ok := f.workers[host]; ok {
		return w.address
	}
	return ""
}

// Serve serves requests until the context ends, and then cuts the running ones.
func (f *Fleet) Serve(ctx context.Context) error {
	server := &http.Server{Handler: f.adminHandler(), ReadHeaderTimeout: adminHeaderTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(f.admin); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	for _, w := range f.workers {
		group.Go(func() error { return w.serve(ctx) })
	}
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}

func (f *Fleet) close() {
	_ = f.admin.Close()
	for _, w := range f.workers {
		_ = w.listener.Close()
	}
}
