package jobplatform

import (
	"fmt"
	"io"
	"time"
)

// ServedBound is how soon after the last fault everything must be served again.
const ServedBound = 12 * time.Second

// view is what callers saw of one entry host's configuration.
type view struct {
	life    int
	version int64
}

// LogTo has each event written as a line.
func (h *History) LogTo(w io.Writer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.log = w
}

func (h *History) noteLocked(format string, args ...any) {
	if h.log != nil {
		_, _ = fmt.Fprintf(h.log, time.Now().Format("15:04:05.000 ")+format+"\n", args...) // a history that is cut off is still of use
	}
}

// Note writes a line about what a caller saw.
func (h *History) Note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteLocked(format, args...)
}

// Calm tells when the last fault ended.
func (h *History) Calm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calmAt = at
	h.noteLocked("calm: the last fault has ended")
}

// Attempt notes an attempt to hand a job in; one that is refused or gets no answer breaks the bound if it was sent late
// enough after the last fault.
func (h *History) Attempt(id string, sent time.Time, status int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteLocked("job %s: handed in at %s, answered %d", id, sent.Format("15:04:05.000"), status)
	if h.calmAt.IsZero() || sent.Before(h.calmAt.Add(ServedBound)) {
		return
	}
	h.totals.ServedAgain++
	if !ok {
		h.breakLocked("job %s was not accepted (%d) %v after the last fault", id, status, sent.Sub(h.calmAt).Round(time.Millisecond))
	}
}

// CheckServed sees that each pool that had starts has had one soon after the last fault.
func (h *History) CheckServed(pools []string) {
	h.mu.Lock()
	calm := h.calmAt
	h.mu.Unlock()
	if calm.IsZero() {
		return
	}
	for _, pool := range pools {
		first := h.FirstStart(pool, calm)
		if first.IsZero() || first.Sub(calm) > ServedBound {
			h.Broken("pool %s: no start within %v after the last fault", pool, ServedBound)
		}
	}
}

// EntryStarted tells that a new life of an entry host begins.
func (h *History) EntryStarted(entry string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.views[entry] = view{life: h.views[entry].life + 1}
	h.noteLocked("entry host %s: a new life begins", entry)
}

// EntryLife is the number of starts of an entry host.
func (h *History) EntryLife(entry string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.views[entry].life
}

// Configured notes the version of the configuration by which an entry host answered in one life.
func (h *History) Configured(entry string, life int, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := h.views[entry]
	if seen.life != life {
		return
	}
	h.totals.Looks++
	if version < seen.version {
		h.breakLocked("entry host %s went back from version %d of the configuration to %d", entry, seen.version, version)
	}
	if version != seen.version {
		h.noteLocked("entry host %s: version %d of the configuration is in force", entry, version)
	}
	h.views[entry] = view{life: life, version: version}
}

// CheckConfigured sees that the entry hosts have a version of the configuration in force.
func (h *History) CheckConfigured(entries []string, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, entry := range entries {
		if seen := h.views[entry]; seen.version != version {
			h.breakLocked("entry host %s has version %d of the configuration in force, %d was accepted", entry, seen.version, version)
		}
	}
}
