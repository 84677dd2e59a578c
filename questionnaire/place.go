package questionnaire

import (
	"fmt"
	"net/netip"

	"github.com/samber/lo"

	answerspb "github.com/agateturn/agateturn/gen/agateturn/answers/v1"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
)

// countByPort is the answer that gives every worker the same IP number and a port of its own.
const countByPort = "port"

// lastPort is the highest port.
const lastPort = 65535

// placeHosts spreads each pool over the data centres in turn, and over the racks of each, so that no rack or
// data centre holds more of a pool than it must.
func placeHosts(answers *Answers) ([]*pb.Host, error) {
	total := 0
	for _, pool := range answers.GetPools() {
		total += int(pool.GetWorkers())
	}
	centres := answers.GetDataCentres()
	if len(centres) == 0 {
		return nil, settings.Refuse(settings.Problem{
			Section: "data_centre", Found: "no data centre", Remedy: `add [data_centre "NAME"]`,
		})
	}
	addresses, err := workerAddresses(answers.GetWorkers(), total)
	if err != nil {
		return nil, err
	}
	hosts := make([]*pb.Host, 0, total)
	for _, pool := range answers.GetPools() {
		for range pool.GetWorkers() {
			i := len(hosts)
			centre := i % len(centres)
			size := centreSize(total, len(centres), centre)
			place := centres[centre].GetName()
			hosts = append(hosts, newHost(answers.GetWorkers(), pool.GetName(), place, i/len(centres), size, addresses[i]))
		}
	}
	return hosts, nil
}

// centreSize is how many of the hosts stand in the given data centre.
func centreSize(hosts, centres, centre int) int {
	return (hosts - centre + centres - 1) / centres
}

// newHost is the position-th host, from 0, of a data centre that holds size of them.
func newHost(w *answerspb.Workers, pool, place string, position, size int, address string) *pb.Host {
	racks := (size + int(w.GetPerRack()) - 1) / int(w.GetPerRack())
	return &pb.Host{
		Name:        fmt.Sprintf("%s-w%02d", place, position+1),
		Address:     address,
		DataCentre:  place,
		Rack:        fmt.Sprintf("%s-r%d", place, position%racks+1),
		Pool:        pool,
		Slots:       w.GetSlots(),
		Connections: w.GetConnections(),
	}
}

// workerAddresses counts up from the first address.
func workerAddresses(w *answerspb.Workers, count int) ([]string, error) {
	addresses, ok := countAddresses(w.GetFirstAddress(), w.GetCountBy(), count)
	if !ok {
		return nil, addressProblem("workers", w.GetFirstAddress(), count)
	}
	return lo.Map(addresses, func(a netip.AddrPort, _ int) string { return a.String() }), nil
}

// countAddresses counts up from the first address. It reports false if there are not as many.
func countAddresses(first, countBy string, count int) ([]netip.AddrPort, bool) {
	next, _ := netip.ParseAddrPort(first)
	addresses := make([]netip.AddrPort, count)
	for i := range addresses {
		if !next.IsValid() {
			return nil, false
		}
		addresses[i] = next
		next = following(next, countBy)
	}
	return addresses, true
}

// following is the next address; the zero AddrPort when there is none.
func following(address netip.AddrPort, countBy string) netip.AddrPort {
	if countBy != countByPort {
		next := address.Addr().Next()
		if !next.IsValid() {
			return netip.AddrPort{}
		}
		return netip.AddrPortFrom(next, address.Port())
	}
	if address.Port() == lastPort {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(address.Addr(), address.Port()+1)
}

func addressProblem(section, first string, count int) error {
	return settings.Refuse(settings.Problem{
		Section: section, Key: "first_address", Found: fmt.Sprintf("%d addresses from %s on do not exist", count, first),
		Remedy: "choose a lower first address than " + first,
	})
}
