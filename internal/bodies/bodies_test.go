package bodies

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// Checks that bodies are read completely, and that all their bytes return to the budget, also after an error.
func TestBodyBudget(t *testing.T) {
	b := &Budget{limit: 100_000}
	for _, size := range []int{0, 1, 4095, 4096, 4097, 70_000, 99_999} {
		text := strings.Repeat("a", size)
		for _, length := range []int64{int64(size), 99_999} {
			data, taken, err := b.Read(iotest.HalfReader(strings.NewReader(text)), length)
			assert.NilError(t, err)
			assert.Equal(t, string(data), text)
			assert.Equal(t, b.held.Load(), taken)
			b.Release(taken)
		}
	}
	assert.Assert(t, b.Take(50_000))
	_, _, err := b.Read(strings.NewReader(strings.Repeat("a", 60_000)), 60_000)
	assert.Assert(t, Full.Has(err))
	_, _, err = b.Read(io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(io.ErrUnexpectedEOF)), 60_000)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, b.held.Load(), int64(50_000))
}
