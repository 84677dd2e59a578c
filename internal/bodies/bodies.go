// Package bodies reads the bodies of requests within a bound on the bytes held at once.
package bodies

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// firstBodyBytes is the room made for a body before its first byte is read.
const firstBodyBytes = 4096

// Budget bounds the bytes of the callers' bodies that are held at once. It counts what arrives, not what is
// announced, so that a caller who sends nothing takes nothing. It is safe for concurrent use.
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

// Give gives back bytes that were taken.
func (b *Budget) Give(n int64) { b.held.Add(-n) }

// Read reads a body of at most length bytes. The caller gives back the bytes taken when it drops the body; after an
// error none are taken.
func (b *Budget) Read(body io.Reader, length int64) (data []byte, taken int64, err error) {
	for {
		if int64(len(data)) == taken {
			// One byte of room beyond the length lets the end be seen without growing again.
			size := min(max(2*taken, firstBodyBytes), length+1)
			if size <= taken || !b.take(size-taken) {
				b.Give(taken)
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
			b.Give(taken)
			return nil, 0, err
		}
	}
}

// Full is a body for which no room is left.
var Full = errs.Class("the entry host is busy; send the request again after the Retry-After time")

// UnreadGrace is how long the rest of a refused request's body is awaited before its connection is closed.
const UnreadGrace = 100 * time.Millisecond

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }
