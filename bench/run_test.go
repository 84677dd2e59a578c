package bench_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/bench"
)

// small returns a deployment that takes little time to simulate.
func small() bench.Deployment {
	return bench.Deployment{
		Name:        "small",
		DataCentres: []string{"north", "south"},
		OneWay:      time.Millisecond,
		Pools:       []bench.Pool{{Name: "quotes", Workers: 3}, {Name: "labels", Workers: 4}},
		Teams:       5,
	}
}

func Example() {
	results := bench.Run(small(), []uint64{1})
	fmt.Println(len(results), results[0].Deployment, results[0].Strategy)
	// Output: 4 small home slots only
}

// TestRunIsRepeatable checks that the same seed gives the same figures, and that every request is accounted for.
func TestRunIsRepeatable(t *testing.T) {
	first := bench.Run(small(), []uint64{7})
	second := bench.Run(small(), []uint64{7})
	assert.DeepEqual(t, first, second)
	for _, r := range first {
		assert.Equal(t, r.Offered, r.InTime+r.Late+r.Shed+r.Lost, r.Strategy)
	}
	assert.NilError(t, bench.Print(os.Stdout, first))
}

// TestLoansKeepTheLimit checks that no worker gets more requests than it has slots, and that with loans more requests
// finish in time than with home slots alone.
func TestLoansKeepTheLimit(t *testing.T) {
	for _, d := range []bench.Deployment{bench.Agency(), bench.Brenaz()} {
		for _, seed := range []uint64{11, 12} {
			alone := bench.RunStrategy(d, bench.HomeSlots, []uint64{seed})
			loans := bench.RunStrategy(d, bench.HomeSlotsAndLoans, []uint64{seed})
			assert.Equal(t, loans.Offered, loans.InTime+loans.Late+loans.Shed+loans.Lost)
			assert.Equal(t, alone.Violations, 0)
			assert.Equal(t, loans.Violations, 0)
			assert.Assert(t, loans.InTime > alone.InTime)
		}
	}
}
