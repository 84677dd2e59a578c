package movebench

import (
	"math"
	"sort"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/mover"
)

// policy decides which hosts to move.
type policy struct {
	name string
	step func(time.Time, mover.Input) []mover.Move
}

func policies() []policy {
	return []policy{
		{"never move", func(time.Time, mover.Input) []mover.Move { return nil }},
		{"always move", alwaysMove},
		{"agateturn", mover.Step},
	}
}

// alwaysMove moves hosts from the spare pool to a pool as soon as that pool is short of hosts, and back as soon as it is
// not.
func alwaysMove(_ time.Time, in mover.Input) []mover.Move {
	spare := in.Config.GetDeployment().GetSparePool()
	budgets := fleet.NewBudgets(in.Fleet, in.Config, in.Failed)
	home := map[string]string{}
	for _, h := range in.Config.GetHosts() {
		home[h.Name] = h.Pool
	}
	active := map[string][]string{}
	inbound := map[string]int{}
	for _, h := range in.Fleet.GetHosts() {
		inbound[h.TargetPool]++
		if h.Phase == pb.HostPhase_HOST_PHASE_ACTIVE && home[h.Host] == spare {
			active[h.Pool] = append(active[h.Pool], h.Host)
		}
	}
	var out []mover.Move
	for _, name := range sortedPools(in.Demand) {
		missing := int(math.Ceil(in.Demand[name].Shortage())) - inbound[name]
		from, to, count := spare, name, missing
		if missing <= 0 {
			from, to, count = name, spare, len(active[name])
		}
		for name != spare && count > 0 && len(active[from]) > 0 {
			host := active[from][0]
			active[from] = active[from][1:]
			count--
			if budgets.MayMove(host) == nil {
				budgets.Take(host)
				out = append(out, mover.Move{Host: host, From: from, To: to})
			}
		}
	}
	return out
}

func sortedPools(demand map[string]mover.PoolLoad) []string {
	out := make([]string, 0, len(demand))
	for name := range demand {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
