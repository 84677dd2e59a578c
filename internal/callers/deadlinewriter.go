package callers

import (
	"errors"
	"net/http"
	"time"
)

// deadlineWriter extends the write deadline with each write, so that a caller that stops reading its answer does not occupy
// a slot indefinitely. It is not safe for concurrent use.
type deadlineWriter struct {
	http.ResponseWriter
	timeout time.Duration
	err     error         // errors of writes and flushes, which the caller causes and not the worker
	blocked time.Duration // total duration of the writes and flushes
}

// Write implements io.Writer.
func (w *deadlineWriter) Write(data []byte) (int, error) {
	defer w.addBlocked(time.Now())
	_ = w.extend()
	n, err := w.ResponseWriter.Write(data)
	w.err = errors.Join(w.err, err)
	return n, err
}

// FlushError flushes the answer; http.ResponseController calls it.
func (w *deadlineWriter) FlushError() error {
	defer w.addBlocked(time.Now())
	_ = w.extend()
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.err = errors.Join(w.err, err)
	return err
}

func (w *deadlineWriter) addBlocked(since time.Time) { w.blocked += time.Since(since) }

func (w *deadlineWriter) extend() error {
	return http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
}

// Unwrap returns the inner writer; http.ResponseController calls it.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
