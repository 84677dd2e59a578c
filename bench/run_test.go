package bench_test

import (
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/bench"
)

func Example() {
	d := bench.Agency()
	results := bench.Run(d, []uint64{1})
	fmt.Println(len(results), results[0].Deployment, results[0].Way)
	// Output: 4 agency home slots only
}

// TestRunIsRepeatable: the same seed gives the same figures, and each request has an end.
func TestRunIsRepeatable(t *testing.T) {
	first := bench.Run(bench.Brenaz(), []uint64{7})
	second := bench.Run(bench.Brenaz(), []uint64{7})
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
		results := bench.Run(d, []uint64{11, 12})
		assert.Equal(t, results[0].Violations, 0)
		assert.Equal(t, results[1].Violations, 0)
		assert.Assert(t, results[1].InTime > results[0].InTime)
	}
}
