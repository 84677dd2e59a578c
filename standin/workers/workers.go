// Package workers plays the workers: upstream hosts that run requests, keep a
// record of each, and misbehave on demand.
//
// All workers of a deployment run in one process, each with a listener of its
// own, besides one listener for control and records. The workers have no guards:
// they run whatever reaches them. Fleet is safe for concurrent use.
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

// Options describe the workers.
type Options struct {
	// Hosts are the workers; port 0 in an address takes a free one.
	Hosts []*pb.Host
	// AdminAddress is the ip:port of control and records. It must be a loopback address.
	AdminAddress string
	// Seed makes run times and the choice of faulty answers repeatable.
	Seed uint64
	// RunTimes are by the pool that a host starts in.
	RunTimes map[string]RunTime
	// DefaultRunTime is for other pools.
	DefaultRunTime RunTime
	// MaxRecords bounds the records kept. Default 1 000 000.
	MaxRecords int
}

// DefaultMaxRecords is the default of Options.MaxRecords.
const DefaultMaxRecords = 1_000_000

// adminHeaderTimeout bounds the wait for the header of a control request.
const adminHeaderTimeout = 5 * time.Second

// RunTime is a log-normal distribution of run times.
type RunTime struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; 0 makes every run time the median.
	Sigma float64
}

// Fleet is a set of workers.
type Fleet struct {
	records *records
	workers map[string]*worker
	admin   net.Listener
}

// Run serves until the context ends.
func Run(ctx context.Context, options Options) error {
	fleet, err := New(ctx, options)
	if err != nil {
		return err
	}
	return fleet.Serve(ctx)
}

// New opens the listeners. Serve must be called to answer and to close them.
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

// Admin returns the address of control and records.
func (f *Fleet) Admin() string {
	return f.admin.Addr().String()
}

// Address returns where a worker listens; "" for an unknown one.
func (f *Fleet) Address(host string) string {
	if w, ok := f.workers[host]; ok {
		return w.address
	}
	return ""
}

// Serve answers until the context ends, and then cuts what is running.
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
