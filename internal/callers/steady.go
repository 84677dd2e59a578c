package callers

import (
	"errors"
	"net/http"
	"time"
)

// steadyWriter ends an answer whose caller does not take any of it for a while: it would hold a slot for ever. It is
// used by one goroutine.
type steadyWriter struct {
	http.ResponseWriter
	timeout time.Duration
	err     error         // the errors of writes: the caller's fault, not the worker's
	heldUp  time.Duration // how long the writes took
}

// Write implements io.Writer.
func (w *steadyWriter) Write(data []byte) (int, error) {
	defer w.addHeldUp(time.Now())
	_ = w.extend()
	n, err := w.ResponseWriter.Write(data)
	w.err = errors.Join(w.err, err)
	return n, err
}

// FlushError implements what http.ResponseController looks for.
func (w *steadyWriter) FlushError() error {
	defer w.addHeldUp(time.Now())
	_ = w.extend()
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.err = errors.Join(w.err, err)
	return err
}

func (w *steadyWriter) addHeldUp(since time.Time) { w.heldUp += time.Since(since) }

func (w *steadyWriter) extend() error {
	return http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
}

// Unwrap lets http.ResponseController reach the connection.
func (w *steadyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
