package bench_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/bench"
)

// small is a deployment that takes little time to run.
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
	fmt.Println(len(results), results[0].Deployment, results[0].Way)
	// Output: 4 small home slots only
}

// TestRunIsRepeatable: the same seed gives the same figures, and each request has an end.
func TestRunIsRepeatable(t *testing.T) {
	first := bench.Run(small(), []uint64{7})
	second := bench.Run(small(), []uint64{7})
	assert.DeepEqual(t, first, second)
	for _, r := range first {
		assert.Equal(t, r.Offered, r.InTime+r.Late+r.Shed+r.Lost, r.Way)
	}
	assert.NilError(t, bench.Print(os.Stdout, first))
}

// TestLoansKeepTheLimit: no worker gets more requests than it has slots, and loans finish more in time than home slots
// alone.
func TestLoansKeepTheLimit(t *testing.T) {
	for _, d := range []bench.Deployment{bench.Agency(), bench.Brenaz()} {
		for _, seed := range []uint64{11, 12} {
			alone := bench.RunWay(d, bench.HomeSlots, []uint64{seed})
			loans := bench.RunWay(d, bench.HomeSlotsAndLoans, []uint64{seed})
			assert.Equal(t, loans.Offered, loans.InTime+loans.Late+loans.Shed+loans.Lost)
			assert.Equal(t, alone.Violations, 0)
			assert.Equal(t, loans.Violations, 0)
			assert.Assert(t, loans.InTime > alone.InTime)
		}
	}
}
