package bench

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/slots"
)

// Sizes that all deployments share.
const (
	entryHosts   = 9
	slotsPerHost = 8
	teamQuota    = 1000
)

// Pool is a pool with the service that it runs, of the same name.
type Pool struct {
	Name    string
	Workers int
}

// Deployment is the size and topology of a deployment.
type Deployment struct {
	Name        string
	DataCentres []string
	// OneWay is the delay between two data centres.
	OneWay time.Duration
	Pools  []Pool
	// Teams is the number of teams that share each pool evenly.
	Teams int
}

// Agency returns the Sicilian agency's deployment, without its spare pool.
func Agency() Deployment {
	return Deployment{
		Name:        "agency",
		DataCentres: []string{"palermo", "catania", "modica"},
		OneWay:      500 * time.Microsecond,
		Pools:       []Pool{{"tastings", 9}, {"allergens", 9}, {"labelling", 11}, {"exports", 12}},
		Teams:       20,
	}
}

// Brenaz returns the Brenaz division's deployment, without its spare pool.
func Brenaz() Deployment {
	return Deployment{
		Name:        "brenaz",
		DataCentres: []string{"vevey-a", "vevey-b", "bulle", "morges"},
		OneWay:      900 * time.Microsecond,
		Pools:       []Pool{{"kettle", 8}, {"tarif", 9}, {"remplissage", 11}, {"etiquette", 12}},
		Teams:       20,
	}
}

// Design returns the size that agateturn is designed for: 1,400 workers in 28 pools, with 200 teams.
func Design() Deployment {
	const pools, workers = 28, 50
	d := Deployment{
		Name:        "design",
		DataCentres: []string{"a", "b", "c", "d"},
		OneWay:      900 * time.Microsecond,
		Teams:       200,
	}
	for i := range pools {
		d.Pools = append(d.Pools, Pool{Name: fmt.Sprintf("service-%02d", i), Workers: workers})
	}
	return d
}

func (d Deployment) hosts() []slots.HostSlots {
	var out []slots.HostSlots
	for _, p := range d.Pools {
		for i := range p.Workers {
			out = append(out, slots.HostSlots{
				Host:       fmt.Sprintf("%s-%02d", p.Name, i),
				Pool:       p.Name,
				Slots:      slotsPerHost,
				DataCentre: d.DataCentres[i%len(d.DataCentres)],
			})
		}
	}
	return out
}

// configuration returns the part of the configuration that the admission queues use.
func (d Deployment) configuration() *pb.Configuration {
	c := &pb.Configuration{}
	for _, p := range d.Pools {
		c.Services = append(c.Services, &pb.Service{
			Name: p.Name, Pool: p.Name, Deadline: durationpb.New(deadline), RunTime: durationpb.New(declaredRunTime),
			MaxQueue: 10000, UrgentStart: durationpb.New(time.Second),
		})
	}
	for i := range d.Teams {
		c.Teams = append(c.Teams, &pb.Team{Name: teamName(i), Weight: 1, Quota: teamQuota})
	}
	return c
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

func entryHostName(i int) string { return fmt.Sprintf("entry-%d", i+1) }
