package jobplatform

import (
	"sync"
	"time"

	"github.com/agateturn/agateturn/store/memtxn"
)

// Traffic is the number of store calls of entry hosts in one second, including calls without an answer.
type Traffic struct {
	// Reads include stale ones and watches, but not renewals of leases.
	Reads, Writes, Renewals int
}

// traffic counts calls by the second. It is safe for concurrent use.
type traffic struct {
	mu      sync.Mutex
	seconds map[int64]Traffic
}

func (t *traffic) note(call memtxn.Call, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.seconds == nil {
		t.seconds = make(map[int64]Traffic)
	}
	second := t.seconds[now.Unix()]
	switch call {
	case memtxn.CallCommit, memtxn.CallGrant, memtxn.CallRevoke:
		second.Writes++
	case memtxn.CallKeepAlive:
		second.Renewals++
	case memtxn.CallGet, memtxn.CallRange, memtxn.CallWatch:
		second.Reads++
	}
	t.seconds[now.Unix()] = second
}

// PeakTraffic returns the maximum number of calls of each kind in one second since a given time. The kinds may peak in different seconds.
func (p *Platform) PeakTraffic(since time.Time) Traffic {
	p.traffic.mu.Lock()
	defer p.traffic.mu.Unlock()
	var peak Traffic
	for second, calls := range p.traffic.seconds {
		if second < since.Unix() {
			continue
		}
		peak.Reads, peak.Writes = max(peak.Reads, calls.Reads), max(peak.Writes, calls.Writes)
		peak.Renewals = max(peak.Renewals, calls.Renewals)
	}
	return peak
}
