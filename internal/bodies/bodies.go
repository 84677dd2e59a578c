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
	held  atomic.Int64
}

func (b *Budget) take(n int64) bool {
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
		if int64(len(data)) == taken {
			// One byte more than the length allows reading io.EOF without growing the buffer again.
			size := min(max(2*taken, firstBodyBytes), length+1)
			if size <= taken || !b.take(size-taken) {
				b.Release(taken)
				return nil, 0, Full.New("this entry host holds its limit of body bytes")
			}
			data = append(make([]byte, 0, size), data...)
			taken = size
		}
		n, err := body.Read(data[len(data):taken])
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
