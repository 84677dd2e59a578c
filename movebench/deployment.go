package movebench

import (
	"fmt"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	hostSlots = 8
	deadline  = 10 * time.Second
	// fullLoad is the load of a burst as a multiple of the capacity of its pool.
	fullLoad = 1.5
)

// deployment is a fleet and the weights of its costs.
type deployment struct {
	name    string
	spare   string
	pools   []pool
	weights *pb.Weights
}

type pool struct {
	name    string
	hosts   int
	runTime time.Duration
}

func deployments() [2]deployment {
	return [2]deployment{agency(), brenaz()}
}

func agency() deployment {
	return deployment{
		name: "agency", spare: "registry",
		pools: []pool{
			{"tastings", 9, 400 * time.Millisecond},
			{"allergens", 9, 800 * time.Millisecond},
			{"labelling", 11, 500 * time.Millisecond},
			{"exports", 12, time.Second},
			{"registry", 8, time.Second},
		},
		weights: &pb.Weights{Moves: 4, RollOut: 4, Buffer: 1},
	}
}

func brenaz() deployment {
	return deployment{
		name: "brenaz", spare: "atelier",
		pools: []pool{
			{"kettle", 8, time.Second},
			{"tarif", 9, 300 * time.Millisecond},
			{"remplissage", 11, 500 * time.Millisecond},
			{"etiquette", 12, 600 * time.Millisecond},
			{"atelier", 8, time.Second},
		},
		weights: &pb.Weights{Moves: 1, RollOut: 1, Buffer: 4},
	}
}

func (d deployment) config() *pb.Configuration {
	cfg := &pb.Configuration{Deployment: &pb.Deployment{Name: d.name, SparePool: d.spare}, Weights: d.weights}
	for _, p := range d.pools {
		cfg.Pools = append(cfg.Pools, &pb.Pool{Name: p.name, MinHosts: minHosts(d, p)})
		if p.name != d.spare {
			cfg.Services = append(cfg.Services, &pb.Service{Name: p.name, Pool: p.name, Availability: 0.7})
		}
		for i := range p.hosts {
			cfg.Hosts = append(cfg.Hosts, &pb.Host{Name: fmt.Sprintf("%s-%02d", p.name, i), Pool: p.name, Slots: hostSlots})
		}
	}
	return cfg
}

// minHosts returns the minimum size of a pool: the spare pool may lend all its hosts, the others two.
func minHosts(d deployment, p pool) int64 {
	if p.name == d.spare {
		return 0
	}
	return int64(p.hosts - 2)
}
