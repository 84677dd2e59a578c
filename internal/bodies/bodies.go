// Package bodies reads request bodies within a limit on the memory that all of them use.
package bodies

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// firstBodyBytes is the size of the buffer allocated before the first byte of a body is read.
const firstBodyBytes = 4096

// Budget limits the total bytes of the bodies in memory. A body takes bytes as it arrives and not by its declared length, so
// that a caller that declares a large body and sends nothing does not use up the budget. It is safe for concurrent use.
type Budget struct {
	limit int64
	// free is how much of each body is not charged.
	free int64
	held atomic.Int64
}

// Take takes bytes and reports whether the budget permits that. They are returned with Release.
func (b *Budget) Take(n int64) bool {
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		return false
	}
	return true
}

// Release returns taken bytes to the budget.
func (b *Budget) Release(n int64) { b.held.Add(-n) }

// Read reads a body of at most length bytes. The caller must return the taken bytes with Release when it no longer needs
// the body. After an error no bytes are taken.
func (b *Budget) Read(body io.Reader, length int64) (data []byte, taken int64, err error) {
	for {
		if len(data) == cap(data) {
			// One byte more than the length allows reading io.EOF without growing the buffer again.
			size := min(max(2*int64(cap(data)), firstBodyBytes), length+1)
			more := max(size-b.free, 0) - taken
			if size <= int64(cap(data)) || !b.Take(more) {
				b.Release(taken)
				return nil, 0, Full.New("this entry host holds its limit of body bytes")
			}
			data = append(make([]byte, 0, size), data...)
			taken += more
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, taken, nil
		}
		if err != nil {
			b.Release(taken)
			return nil, 0, err
		}
	}
}

// Full is the error of a body that does not fit into the budget.
var Full = errs.Class("the entry host is busy; send the request again after the Retry-After time")

// UnreadGrace is the longest wait for the rest of a refused request's body before its connection is closed.
const UnreadGrace = 100 * time.Millisecond

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// NewBudgetBeyond returns a budget of limit bytes that does not charge the first free bytes of each body, so that small bodies are
// read also while large ones use up the budget.
func NewBudgetBeyond(limit, free int64) *Budget { return &Budget{limit: limit, free: free} }
