package entryhost

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// firstBodyBytes is the room made for a body before its first byte is read.
const firstBodyBytes = 4096

// bodyBudget bounds the bytes of the callers' bodies that are held at once. It counts what arrives, not what is
// announced, so that a caller who sends nothing takes nothing. It is safe for concurrent use.
type bodyBudget struct {
	limit int64
	held  atomic.Int64
}

func (b *bodyBudget) take(n int64) bool {
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		return false
	}
	return true
}

func (b *bodyBudget) give(n int64) { b.held.Add(-n) }

// read reads a body of at most length bytes. The caller gives back the bytes taken when it drops the body; after an
// error none are taken.
func (b *bodyBudget) read(body io.Reader, length int64) (data []byte, taken int64, err error) {
	for {
		if int64(len(data)) == taken {
			// One byte of room beyond the length lets the end be seen without growing again.
			size := min(max(2*taken, firstBodyBytes), length+1)
			if size <= taken || !b.take(size-taken) {
				b.give(taken)
				return nil, 0, errBodiesFull.New("this entry host holds its limit of body bytes")
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
			b.give(taken)
			return nil, 0, err
		}
	}
}

// errBodiesFull is a body for which no room is left.
var errBodiesFull = errs.Class("the entry host is busy; send the request again after the Retry-After time")

// unreadGrace is how long the rest of a refused request's body is awaited before its connection is closed.
const unreadGrace = 100 * time.Millisecond

// newBodyBudget returns a budget of limit bytes.
func newBodyBudget(limit int64) *bodyBudget { return &bodyBudget{limit: limit} }
