// Package callers simulates the callers: it sends a bounded, seeded load to loopback addresses and checks each answer.
//
// Each service in turn gets several times its mean rate for some seconds, and little in between. Every request uses a
// connection of its own, so that the transport never retries a request by itself.
package callers

import (
	"math"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/zeebo/errs"
)

// InvalidConfig is the class of errors of an invalid Config.
var InvalidConfig = errs.Class("callers: load not possible; correct the named field")

// Upper limits of one load.
const (
	MaxDuration = 30 * time.Minute
	MaxRequests = 500_000
	MaxInFlight = 20_000
)

// Target is an entry host.
type Target struct {
	// Address is ip:port; the ip is a loopback address.
	Address string
	// Weight is the target's share of the requests, relative to the sum of all weights.
	Weight int
}

// Service is one service and its load.
type Service struct {
	Name string
	// Rate is the number of requests per second that BurstFactor and IdleFactor multiply; with the defaults and five
	// services it is about the mean.
	Rate float64
}

// Config describes a load. The same Config gives the same plan.
type Config struct {
	Targets  []Target
	Services []Service
	Teams    []string
	// Duration is the time in which requests are started; the last may end later, by Timeout or SessionLength.
	Duration time.Duration
	// BurstLength is the time for which one service gets BurstFactor times its Rate, before the next service does.
	BurstLength time.Duration
	BurstFactor float64
	// IdleFactor is the load of a service outside its burst, as a share of its Rate.
	IdleFactor float64
	// KeyedShare is the share of requests (0 to 1) that are not idempotent and carry an idempotency key.
	KeyedShare float64
	// UrgentShare and SessionShare are the shares of requests (0 to 1) of these classes; the others are normal.
	UrgentShare  float64
	SessionShare float64
	// RepeatShare is the share of keyed requests (0 to 1) that are sent twice at once, to independently drawn targets.
	RepeatShare float64
	// RunTime is the run time that is requested from the worker; 0 leaves it to the worker.
	RunTime time.Duration
	// SessionLength is the duration of a session, in whole seconds.
	SessionLength time.Duration
	// AnswerBytes is the requested length of each answer, except for sessions.
	AnswerBytes int
	// Timeout is the time limit of each request that is not a session.
	Timeout time.Duration
	// MaxInFlight limits the requests in progress; requests above the limit are skipped and counted.
	MaxInFlight int
	Seed        uint64
	// Balanced skips targets whose readiness check fails, as the platform's balancer does.
	Balanced bool
	// Trace is called with each exchange, one call at a time; nil disables tracing.
	Trace func(Exchange)
}

// Default returns the Config of a small load, without targets and services.
func Default() Config {
	return Config{
		Teams:         []string{"orders", "quality"},
		Duration:      20 * time.Second,
		BurstLength:   4 * time.Second,
		BurstFactor:   5,
		IdleFactor:    0.05,
		KeyedShare:    0.2,
		UrgentShare:   0.2,
		SessionShare:  0.02,
		SessionLength: 5 * time.Second,
		AnswerBytes:   2048,
		Timeout:       10 * time.Second,
		MaxInFlight:   2000,
		Seed:          1,
	}
}

// Check returns an InvalidConfig error unless the load is within its limits and its targets are on loopback.
func (c Config) Check() error {
	if len(c.Targets) == 0 || len(c.Services) == 0 || len(c.Teams) == 0 {
		return InvalidConfig.New("targets, services and teams: at least one each")
	}
	for _, target := range c.Targets {
		if err := target.check(); err != nil {
			return err
		}
	}
	for _, service := range c.Services {
		if service.Name == "" || !isPositive(service.Rate) {
			return InvalidConfig.New("service %q: needs a name and a rate above 0", service.Name)
		}
	}
	return c.checkNumbers()
}

func (c Config) checkNumbers() error {
	shares := []float64{c.KeyedShare, c.RepeatShare, c.UrgentShare, c.SessionShare, c.UrgentShare + c.SessionShare}
	switch {
	case slices.ContainsFunc(shares, func(share float64) bool { return !(share >= 0 && share <= 1) }):
		return InvalidConfig.New("shares: each, and urgent and session together, between 0 and 1")
	case c.Duration <= 0 || c.Duration > MaxDuration:
		return InvalidConfig.New("duration: above 0, at most %v", MaxDuration)
	case c.BurstLength <= 0 || !isPositive(c.BurstFactor) || (c.IdleFactor != 0 && !isPositive(c.IdleFactor)):
		return InvalidConfig.New("burst: length and factor above 0, idle factor at least 0")
	case c.Timeout <= 0 || c.RunTime < 0:
		return InvalidConfig.New("timeout: above 0; run time: at least 0")
	case c.SessionLength < 0 || c.SessionLength%time.Second != 0:
		return InvalidConfig.New("session length: whole seconds")
	case c.AnswerBytes < 1:
		return InvalidConfig.New("answer bytes: at least 1")
	case c.MaxInFlight <= 0 || c.MaxInFlight > MaxInFlight:
		return InvalidConfig.New("requests in flight: 1 to %d", MaxInFlight)
	}
	return c.checkCount()
}

// checkCount limits the number of requests, by an upper bound of their expected number.
func (c Config) checkCount() error {
	rate := lo.SumBy(c.Services, func(s Service) float64 { return s.Rate })
	peak := max(c.BurstFactor, c.IdleFactor, 1)
	if expected := rate * peak * c.Duration.Seconds(); expected > MaxRequests {
		return InvalidConfig.New("rates: up to %.0f requests, at most %d", expected, MaxRequests)
	}
	return nil
}

func (t Target) check() error {
	if t.Weight <= 0 {
		return InvalidConfig.New("target %s: weight above 0", t.Address)
	}
	if !isLoopback(t.Address) {
		return InvalidConfig.New("target %q: ip:port on loopback only", t.Address)
	}
	return nil
}

// isPositive returns false for NaN and infinity too.
func isPositive(x float64) bool { return x > 0 && !math.IsInf(x, 1) }

// isLoopback reports whether address is ip:port with a loopback ip. Host names are rejected, since they could resolve to
// other addresses.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.Unmap().IsLoopback()
}
