package jobhost

import (
	"strconv"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/carriers"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/carry"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/platform"
)

// newCarryClient returns the calls of one term of a pool's owner to its workers.
func (h *Host) newCarryClient(pool string, fence uint64) *carry.Client {
	return carry.NewClient(carry.ClientOptions{
		Pool: pool, Fence: fence,
		Session: pool + "-" + strconv.FormatUint(fence, 10),
		Direct:  h.workers, Peers: h.carrierPeers, Hosts: h.possibleCarriers, Clock: h.clock.Now, Log: h.log,
	})
}

// possibleCarriers returns the other members that own no pool and are not leaving.
func (h *Host) possibleCarriers() []carriers.Host {
	owners := map[string]bool{}
	if table := h.tables.Table(); table != nil {
		for _, pool := range poolNames(table) {
			if record, _, ok := h.members.Owner(pool); ok {
				owners[record.GetMember()] = true
			}
		}
	}
	free := lo.Reject(h.otherMembers(), func(m *pb.JobMember, _ int) bool { return m.GetLeaving() || owners[m.GetName()] })
	return lo.Map(free, func(m *pb.JobMember, _ int) carriers.Host {
		return carriers.Host{Name: m.GetName(), Address: m.GetPeerAddress(), CPUMilli: m.GetCpuMilli()}
	})
}

// newCarriedWorkers returns the calls to workers that this host makes for another host's pool.
func (h *Host) newCarriedWorkers() (workers poolowner.Workers, release func()) {
	calls := platform.NewWorkers(platform.WorkersOptions{Now: h.clock.Now, Observe: h.workerCalls})
	return workerAdapter{calls}, calls.Close
}
