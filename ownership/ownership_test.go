package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/agateturn/agateturn/ownership"
)

var epoch = time.Unix(0, 0).UTC()

// Three hosts share four free pools. Later the process that owned one pool has died, and the hosts are ranked for that pool.
func Example() {
	hosts := []ownership.Member{{Name: "h1"}, {Name: "h2"}, {Name: "h3"}}
	pools := []ownership.Pool{{Name: "kettle"}, {Name: "tarif"}, {Name: "filling"}, {Name: "~fleet"}}
	const step = 150 * time.Millisecond
	for i := range pools {
		pools[i].FreeSince = epoch
	}
	v := ownership.View{Members: hosts, Pools: pools}
	for _, h := range hosts {
		for _, t := range ownership.Takeovers(v, h.Name, step) {
			if t.Rank == 0 {
				fmt.Println(h.Name, "takes", t.Pool, "at once")
			}
		}
	}
	for i := range pools {
		pools[i].Owner = "h2"
	}
	pools[1] = ownership.Pool{Name: "tarif", LastOwner: "h1", LastIncarnation: "gone", FreeSince: epoch}
	for _, h := range hosts {
		t := ownership.Takeovers(v, h.Name, step)[0]
		fmt.Println(h.Name, "has rank", t.Rank, "for", t.Pool, "and waits", t.At.Sub(epoch))
	}
	// Output:
	// h1 takes filling at once
	// h2 takes tarif at once
	// h3 takes kettle at once
	// h3 takes ~fleet at once
	// h1 has rank 1 for tarif and waits 150ms
	// h2 has rank 2 for tarif and waits 300ms
	// h3 has rank 0 for tarif and waits 0s
}

func ExampleConfirmation() {
	limits := ownership.Limits{MaxUnconfirmed: 10 * time.Second, Pause: time.Second}
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	c := ownership.NewConfirmation(limits, at(0))
	c.Confirm(at(0))
	fmt.Println("renewed:", c.Valid(at(0.5)))
	fmt.Println("suspended for 5 s:", c.Valid(at(5.5)))
	c.Tick(at(5.5))
	fmt.Println("running again:", c.Valid(at(5.6)))
	c.Confirm(at(5.6))
	fmt.Println("renewed again:", c.Valid(at(5.7)))
	// Output:
	// renewed: true
	// suspended for 5 s: false
	// running again: false
	// renewed again: true
}

func drawView(t *rapid.T) ownership.View {
	n := rapid.IntRange(1, 12).Draw(t, "members")
	members := make([]ownership.Member, n)
	for i := range members {
		members[i] = ownership.Member{Name: fmt.Sprint("h", i), Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0}
	}
	pools := make([]ownership.Pool, rapid.IntRange(1, 28).Draw(t, "pools"))
	for i := range pools {
		pools[i] = ownership.Pool{Name: fmt.Sprint("p", i), FreeSince: epoch}
		switch rapid.IntRange(0, 2).Draw(t, "state") {
		case 0:
			pools[i].Owner = members[rapid.IntRange(0, n-1).Draw(t, "owner")].Name
		case 1:
			pools[i].LastOwner = members[rapid.IntRange(0, n-1).Draw(t, "last")].Name
		}
	}
	return ownership.View{Members: members, Pools: pools}
}

// ranks returns the ranks of all members for each free pool.
func ranks(v ownership.View) map[string]map[int]string {
	found := make(map[string]map[int]string)
	for _, m := range v.Members {
		for _, takeover := range ownership.Takeovers(v, m.Name, time.Second) {
			if found[takeover.Pool] == nil {
				found[takeover.Pool] = make(map[int]string)
			}
			found[takeover.Pool][takeover.Rank] = m.Name
		}
	}
	return found
}

func TestMembersAgreeOnRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawView(t)
		eligible := 0
		leaving := make(map[string]bool)
		for _, m := range v.Members {
			leaving[m.Name] = m.Leaving
			if !m.Leaving {
				eligible++
			}
		}
		got := ranks(v)
		for _, p := range v.Pools {
			switch {
			case p.Owner != "" || eligible == 0:
				assert.Equal(t, len(got[p.Name]), 0)
			default:
				assert.Equal(t, len(got[p.Name]), eligible, "each rank must have one member")
				if p.LastOwner != "" && !leaving[p.LastOwner] {
					assert.Equal(t, got[p.Name][0], p.LastOwner)
				}
			}
		}
	})
}

func TestFreePoolsAreSpreadEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawView(t)
		for i := range v.Pools {
			v.Pools[i].Owner, v.Pools[i].LastOwner = "", ""
		}
		counts := make(map[string]int)
		for _, byRank := range ranks(v) {
			counts[byRank[0]]++
		}
		least, most := len(v.Pools), 0
		for _, m := range v.Members {
			if !m.Leaving {
				least, most = min(least, counts[m.Name]), max(most, counts[m.Name])
			}
		}
		assert.Assert(t, most <= least+1, "%v", counts)
	})
}

func TestWaitsForOthersToRegister(t *testing.T) {
	settled := epoch.Add(time.Second)
	v := ownership.View{
		Members: []ownership.Member{{Name: "h1", Incarnation: "1"}, {Name: "h2", Incarnation: "2"}},
		Pools: []ownership.Pool{
			{Name: "mine", FreeSince: epoch, LastOwner: "h1", LastIncarnation: "1"},
			{Name: "new", FreeSince: epoch},
			{Name: "of an earlier incarnation", FreeSince: epoch, LastOwner: "h1", LastIncarnation: "0"},
		},
		Settled: settled,
	}
	for _, takeover := range ownership.Takeovers(v, "h1", time.Second) {
		if takeover.Pool == "mine" {
			assert.Equal(t, takeover.At, epoch)
			continue
		}
		assert.Assert(t, !takeover.At.Before(settled), "%s", takeover.Pool)
	}
}

// TestLargerHostsOwnMore assigns eight pools to four small and four large hosts. The large hosts must own all of them.
func TestLargerHostsOwnMore(t *testing.T) {
	var v ownership.View
	for i := range 8 {
		v.Members = append(v.Members, ownership.Member{Name: fmt.Sprintf("host-%d", i), CPUMilli: int64(200 + 600*(i%2))})
	}
	owned := map[string]int{}
	for i := range 8 {
		first := ownership.Ranking(ownership.Pool{Name: fmt.Sprintf("pool-%d", i)}, v.Members, owned)[0]
		owned[first]++
	}
	for _, m := range v.Members {
		assert.Equal(t, owned[m.Name], int(m.CPUMilli/400), m.Name)
	}
}
