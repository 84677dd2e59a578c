// Package logpipe carries log lines to a reader that may stall, and bounds how many of a kind are written.
package logpipe

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/internal/ring"
)

const (
	// pipeLines and maxLine bound the memory of lines that wait: 1024 lines of at most 2 KiB.
	pipeLines = 1024
	maxLine   = 2 << 10
	// gatherTime is how long the writer collects lines for one write, gatherBytes the size from which it does not.
	gatherTime  = 10 * time.Millisecond
	gatherBytes = 16 << 10
	// reportEvery is how often lines that were left out are reported.
	reportEvery = 5 * time.Second
)

// Pipe is an io.Writer that never blocks: one goroutine writes to the reader, and what does not fit is dropped and
// counted. It is safe for concurrent use.
type Pipe struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
	log   *slog.Logger
	limit *limits

	told  int64
	stop  chan struct{}
	ended chan struct{}
	once  atomic.Bool
}

// New returns a pipe to out. Its writer begins with Logger and ends with Close.
func New(out io.Writer) *Pipe {
	p := &Pipe{
		out:   out,
		lines: ring.New[[]byte]("log lines", pipeLines),
		limit: newLimits(),
		stop:  make(chan struct{}),
		ended: make(chan struct{}),
	}
	return p
}

// Logger starts the writer and returns a logger whose lines have the form that the handler gives them. Call it once.
func (p *Pipe) Logger(form func(io.Writer) slog.Handler) *slog.Logger {
	inner := form(p)
	p.log = slog.New(inner)
	go p.run()
	return slog.New(limited{Handler: inner, limits: p.limit})
}

// Write takes one line. It reports success also if the line is dropped.
func (p *Pipe) Write(line []byte) (int, error) {
	kept := bytes.Clone(line[:min(len(line), maxLine)])
	if len(line) > maxLine {
		kept[maxLine-1] = '\n'
	}
	p.lines.Offer(kept)
	return len(line), nil
}

// Dropped counts the lines that the reader was too slow for.
func (p *Pipe) Dropped() int64 { return p.lines.Refused() }

// Close writes what waits and ends the writer, unless the reader stalls until ctx ends.
func (p *Pipe) Close(ctx context.Context) {
	if p.once.CompareAndSwap(false, true) {
		close(p.stop)
	}
	select {
	case <-p.ended:
	case <-ctx.Done():
	}
}

func (p *Pipe) run() {
	defer close(p.ended)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var batch []byte
	for {
		select {
		case line := <-p.lines.Items():
			batch = p.gather(append(batch[:0], line...))
			_, _ = p.out.Write(batch)
		case <-ticker.C:
			p.report()
		case <-p.stop:
			p.report()
			_, _ = p.out.Write(p.takeAll(batch[:0]))
			return
		}
	}
}

// gather collects the lines of one write.
func (p *Pipe) gather(batch []byte) []byte {
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for len(batch) < gatherBytes {
		select {
		case line := <-p.lines.Items():
			batch = append(batch, line...)
		case <-timer.C:
			return batch
		case <-p.stop:
			return batch
		}
	}
	return batch
}

func (p *Pipe) takeAll(batch []byte) []byte {
	for {
		select {
		case line := <-p.lines.Items():
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

// report tells how many lines were left out since the last report.
func (p *Pipe) report() {
	dropped := p.Dropped()
	since := dropped - p.told
	p.told = dropped
	limited := p.limit.take()
	if since == 0 && len(limited) == 0 {
		return
	}
	args := append([]any{slog.Int64("reader_too_slow", since)}, limited...)
	events.Emit(context.Background(), p.log, events.LinesLeftOut, args...)
}
