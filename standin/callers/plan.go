package callers

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Class is the admission class of a request.
type Class string

// The classes of requests.
const (
	ClassUrgent  Class = "urgent"
	ClassNormal  Class = "normal"
	ClassSession Class = "session"
)

// Request is one planned request.
type Request struct {
	// At is the time at which the request is sent, from the start of the load.
	At      time.Duration
	Target  string
	Service string
	Team    string
	Class   Class
	// Keyed requests are not idempotent and carry an idempotency key.
	Keyed bool
	// Repeat is the target to which the request is sent a second time, at once; empty means none.
	Repeat string
}

// Plan returns the requests of a load in order of time. The result depends on config only.
func Plan(config Config) []Request {
	var requests []Request
	for i, service := range config.Services {
		random := rand.New(rand.NewPCG(config.Seed, uint64(i)))
		requests = append(requests, planService(config, random, i, service)...)
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return requests
}

// planService draws the arrivals of a service as a Poisson process by thinning: arrivals at its highest rate are kept with
// the probability of the rate at their time.
func planService(config Config, random *rand.Rand, index int, service Service) []Request {
	var requests []Request
	highest := max(config.BurstFactor, config.IdleFactor)
	for at := time.Duration(0); ; {
		at += seconds(random.ExpFloat64() / (service.Rate * highest))
		if at >= config.Duration {
			return requests
		}
		if random.Float64()*highest >= factorAt(config, index, at) {
			continue
		}
		requests = append(requests, drawRequest(config, random, at, service.Name))
	}
}

// factorAt returns the factor by which the Rate of a service is multiplied at a time.
func factorAt(config Config, index int, at time.Duration) float64 {
	bursting := int(at/config.BurstLength) % len(config.Services)
	if bursting == index {
		return config.BurstFactor
	}
	return config.IdleFactor
}

func drawRequest(config Config, random *rand.Rand, at time.Duration, service string) Request {
	request := Request{
		At:      at,
		Target:  drawTarget(config, random),
		Service: service,
		Team:    config.Teams[random.IntN(len(config.Teams))],
		Class:   drawClass(config, random),
	}
	request.Keyed = random.Float64() < config.KeyedShare && request.Class != ClassSession
	if request.Keyed && random.Float64() < config.RepeatShare {
		request.Repeat = drawTarget(config, random)
	}
	return request
}

func drawTarget(config Config, random *rand.Rand) string {
	sum := lo.SumBy(config.Targets, func(t Target) int { return t.Weight })
	drawn := random.IntN(sum)
	for _, target := range config.Targets {
		if drawn < target.Weight {
			return target.Address
		}
		drawn -= target.Weight
	}
	return config.Targets[len(config.Targets)-1].Address
}

func drawClass(config Config, random *rand.Rand) Class {
	drawn := random.Float64()
	switch {
	case drawn < config.SessionShare:
		return ClassSession
	case drawn < config.SessionShare+config.UrgentShare:
		return ClassUrgent
	default:
		return ClassNormal
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Ceil(s * float64(time.Second)))
}
