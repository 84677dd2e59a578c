package movebench

import (
	"bytes"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

func Example() {
	if err := Run(os.Stdout, 1); err != nil {
		panic(err)
	}
}

func TestSameSeedSameTable(t *testing.T) {
	var a, b bytes.Buffer
	assert.NilError(t, Run(&a, 2))
	assert.NilError(t, Run(&b, 2))
	assert.Equal(t, a.String(), b.String())
	t.Log("\n" + a.String())
}
