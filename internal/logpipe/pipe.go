// Package logpipe writes log lines to a reader that may stall, without blocking the loggers, and limits the rate of lines
// of each event.
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
	// queueLines and maxLineBytes bound the memory of queued lines: 1024 lines of at most 2 KiB.
	queueLines   = 1024
	maxLineBytes = 2 << 10
	// batchDelay is how long the writer collects lines for one write. It writes earlier once a batch has batchBytes.
	batchDelay = 10 * time.Millisecond
	batchBytes = 16 << 10
	// reportInterval is the interval at which dropped and suppressed lines are reported.
	reportInterval = 5 * time.Second
)

// Pipe is an io.Writer that never blocks: one goroutine writes to the reader, and lines that do not fit into the queue are
// dropped and counted. It is safe for concurrent use.
type Pipe struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
	log   *slog.Logger
	limit *limiter

	reported int64
	stop     chan struct{}
	done     chan struct{}
	closed   atomic.Bool
}

// New returns a pipe to out. Logger starts its writer goroutine, and Close stops it.
func New(out io.Writer) *Pipe {
	p := &Pipe{
		out:   out,
		lines: ring.New[[]byte]("log lines", queueLines),
		limit: newLimiter(),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	return p
}

// Logger starts the writer goroutine and returns a logger that formats lines with the handler that newHandler returns.
// It must be called only once.
func (p *Pipe) Logger(newHandler func(io.Writer) slog.Handler) *slog.Logger {
	inner := newHandler(p)
	p.log = slog.New(inner)
	go p.run()
	return slog.New(limitedHandler{Handler: inner, limiter: p.limit})
}

// Write queues one line, truncated to maxLineBytes. It reports success even if the line is dropped.
func (p *Pipe) Write(line []byte) (int, error) {
	kept := bytes.Clone(line[:min(len(line), maxLineBytes)])
	if len(line) > maxLineBytes {
		kept[maxLineBytes-1] = '\n'
	}
	p.lines.Offer(kept)
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the reader was too slow.
func (p *Pipe) Dropped() int64 { return p.lines.Refused() }

// Close writes the queued lines and stops the writer. It returns earlier if ctx ends while the reader stalls.
func (p *Pipe) Close(ctx context.Context) {
	if p.closed.CompareAndSwap(false, true) {
		close(p.stop)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
	}
}

func (p *Pipe) run() {
	defer close(p.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var batch []byte
	for {
		select {
		case line := <-p.lines.Items():
			batch = p.collectBatch(append(batch[:0], line...))
			_, _ = p.out.Write(batch)
		case <-ticker.C:
			p.report()
		case <-p.stop:
			p.report()
			_, _ = p.out.Write(p.drain(batch[:0]))
			return
		}
	}
}

// collectBatch appends the lines for one write to the batch.
func (p *Pipe) collectBatch(batch []byte) []byte {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < batchBytes {
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

func (p *Pipe) drain(batch []byte) []byte {
	for {
		select {
		case line := <-p.lines.Items():
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

// report logs how many lines were dropped and suppressed since the last report.
func (p *Pipe) report() {
	dropped := p.Dropped()
	since := dropped - p.reported
	p.reported = dropped
	suppressed := p.limit.takeSuppressed()
	if since == 0 && len(suppressed) == 0 {
		return
	}
	args := append([]any{slog.Int64("reader_too_slow", since)}, suppressed...)
	events.Emit(context.Background(), p.log, events.LinesLeftOut, args...)
}
