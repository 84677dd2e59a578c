package questionnaire

import (
	"fmt"
	"net/netip"

	"github.com/samber/lo"

	answerspb "github.com/agateturn/agateturn/gen/agateturn/answers/v1"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
)

// countByPort is the value of count_by that gives all workers one IP address and each its own port.
const countByPort = "port"

const maxPort = 65535

// placeHosts distributes the workers of each pool round-robin over the data centres and their racks, so that no rack or
// data centre holds more of a pool than an even spread requires.
func placeHosts(answers *Answers) ([]*pb.Host, error) {
	total := 0
	for _, pool := range answers.GetPools() {
		total += int(pool.GetWorkers())
	}
	centres := answers.GetDataCentres()
	if len(centres) == 0 {
		return nil, settings.InvalidError(settings.Problem{
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
			dataCentre := centres[centre].GetName()
			hosts = append(hosts, newHost(answers.GetWorkers(), pool.GetName(), dataCentre, i/len(centres), size, addresses[i]))
		}
	}
	return hosts, nil
}

// centreSize returns the number of hosts in the given data centre.
func centreSize(hosts, centres, centre int) int {
	return (hosts - centre + centres - 1) / centres
}

// newHost returns one host of a data centre that holds size hosts; position counts from 0.
func newHost(w *answerspb.Workers, pool, dataCentre string, position, size int, address string) *pb.Host {
	racks := (size + int(w.GetPerRack()) - 1) / int(w.GetPerRack())
	return &pb.Host{
		Name:        fmt.Sprintf("%s-w%02d", dataCentre, position+1),
		Address:     address,
		DataCentre:  dataCentre,
		Rack:        fmt.Sprintf("%s-r%d", dataCentre, position%racks+1),
		Pool:        pool,
		Slots:       w.GetSlots(),
		Connections: w.GetConnections(),
	}
}

// workerAddresses returns consecutive addresses from the first one.
func workerAddresses(w *answerspb.Workers, count int) ([]string, error) {
	addresses, ok := countAddresses(w.GetFirstAddress(), w.GetCountBy(), count)
	if !ok {
		return nil, addressProblem("workers", w.GetFirstAddress(), count)
	}
	return lo.Map(addresses, func(a netip.AddrPort, _ int) string { return a.String() }), nil
}

// countAddresses returns count consecutive addresses. It returns false if the address space or ports run out.
func countAddresses(first, countBy string, count int) ([]netip.AddrPort, bool) {
	next, _ := netip.ParseAddrPort(first)
	addresses := make([]netip.AddrPort, count)
	for i := range addresses {
		if !next.IsValid() {
			return nil, false
		}
		addresses[i] = next
		next = nextAddress(next, countBy)
	}
	return addresses, true
}

// nextAddress returns the next address, or the zero AddrPort if there is none.
func nextAddress(address netip.AddrPort, countBy string) netip.AddrPort {
	if countBy != countByPort {
		next := address.Addr().Next()
		if !next.IsValid() {
			return netip.AddrPort{}
		}
		return netip.AddrPortFrom(next, address.Port())
	}
	if address.Port() == maxPort {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(address.Addr(), address.Port()+1)
}

func addressProblem(section, first string, count int) error {
	return settings.InvalidError(settings.Problem{
		Section: section, Key: "first_address", Found: fmt.Sprintf("fewer than %d addresses available from %s", count, first),
		Remedy: "choose a lower first address than " + first,
	})
}
