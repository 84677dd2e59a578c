package movebench_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/agateturn/agateturn/movebench"
	"gotest.tools/v3/assert"
)

func Example() {
	var table strings.Builder
	if err := movebench.RunFor(&table, 1, time.Minute); err != nil {
		panic(err)
	}
	header, _, _ := strings.Cut(table.String(), "\n")
	fmt.Println(strings.Join(strings.Fields(header), " "))
	// Output: deployment policy goodput % moves mean roll-out s spare host-hours weighted cost
}

func TestSameSeedGivesSameTable(t *testing.T) {
	var a, b, other bytes.Buffer
	assert.NilError(t, movebench.RunFor(&a, 2, 10*time.Minute))
	assert.NilError(t, movebench.RunFor(&b, 2, 10*time.Minute))
	assert.NilError(t, movebench.RunFor(&other, 3, 10*time.Minute))
	assert.Equal(t, a.String(), b.String())
	assert.Assert(t, a.String() != other.String())
}
