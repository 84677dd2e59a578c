package routing

import "time"

const (
	// declaredWeight is the number of observations that a declared run time counts for.
	declaredWeight = 2.0
	// meanWindow is the number of observations after which a moving average gives each new one a constant weight.
	meanWindow = 64.0
	// maxInfluence limits the effect of one observation, which is clamped to this many times the mean.
	maxInfluence = 8.0
)

// mean is a moving average in seconds.
type mean struct {
	value float64
	count float64
}

func (m *mean) add(seconds float64) {
	if m.count >= 1 {
		seconds = min(seconds, m.value*maxInfluence)
	}
	m.count = min(m.count+1, meanWindow)
	m.value += (seconds - m.value) / m.count
}

// blend returns the mean with a prior that counts for declaredWeight observations.
func (m *mean) blend(prior float64) float64 {
	if m == nil {
		return prior
	}
	return (m.value*m.count + prior*declaredWeight) / (m.count + declaredWeight)
}

type serviceHost struct {
	service string
	host    string
}

// runTimes holds the mean run times of successful attempts. Failed attempts are ignored because they are often faster.
type runTimes struct {
	byService map[string]*mean
	byHost    map[serviceHost]*mean
}

func newRunTimes() *runTimes {
	return &runTimes{byService: map[string]*mean{}, byHost: map[serviceHost]*mean{}}
}

func (t *runTimes) observe(service, host string, runTime time.Duration) {
	meanOf(t.byService, service).add(runTime.Seconds())
	meanOf(t.byHost, serviceHost{service, host}).add(runTime.Seconds())
}

func meanOf[K comparable](means map[K]*mean, key K) *mean {
	m, ok := means[key]
	if !ok {
		m = &mean{}
		means[key] = m
	}
	return m
}

// ofService returns the service's learned run time in seconds, or the declared one if there are no observations.
func (t *runTimes) ofService(service string, declared time.Duration) float64 {
	return t.byService[service].blend(declared.Seconds())
}

// onHost returns the learned run time on the host in seconds, or the service's if there are no observations.
func (t *runTimes) onHost(service, host string, ofService float64) float64 {
	return t.byHost[serviceHost{service, host}].blend(ofService)
}

// forget drops a host's run times.
func (t *runTimes) forget(host string) {
	for key := range t.byHost {
		if key.host == host {
			delete(t.byHost, key)
		}
	}
}
