package workers

import (
	"slices"
	"sync"
	"time"
)

// Record is the record that a worker keeps of one request.
type Record struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key,omitempty"`
	Host      string `json:"host"`
	// Pool is the pool that the sender named.
	Pool    string    `json:"pool"`
	Service string    `json:"service"`
	Start   time.Time `json:"start"`
	// End is zero while the request is running.
	End time.Time `json:"end,omitzero"`
	// Ran is true if the whole request was read, which counts as its execution.
	Ran bool `json:"ran"`
	// Complete is true if the whole answer was written.
	Complete bool `json:"complete"`
	// Cut is true if a reboot ended the request.
	Cut bool `json:"cut"`
	// freed is true once the request no longer counts as running.
	freed bool
}

// Counts is a summary of the records.
type Counts struct {
	Requests int `json:"requests"`
	Ran      int `json:"ran"`
	Complete int `json:"complete"`
	// Cut is the number of requests that a reboot ended.
	Cut int `json:"cut"`
	// Doubled holds the number of runs of each idempotency key that ran more than once.
	Doubled map[string]int `json:"doubled"`
	// MaxConcurrent is the largest number of concurrent requests on each host.
	MaxConcurrent map[string]int `json:"max_concurrent"`
	// PoolOverlaps counts, by host, the requests that started while one of another pool was running there.
	PoolOverlaps map[string]int `json:"pool_overlaps"`
	// PoolSwitches counts, by host, the requests whose pool differs from that of the previous request.
	PoolSwitches map[string]int `json:"pool_switches"`
	// Dropped is the number of requests that were not recorded because the limit of records was reached.
	Dropped int `json:"dropped"`
}

// records holds the records of all workers. It is safe for concurrent use.
type records struct {
	mu            sync.Mutex
	limit         int
	all           []*Record
	dropped       int
	running       map[string]int
	maxConcurrent map[string]int
}

func newRecords(limit int) *records {
	return &records{limit: limit, running: map[string]int{}, maxConcurrent: map[string]int{}}
}

// begin adds a record, unless the limit is reached, and counts the request as running.
func (r *records) begin(record Record) *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[record.Host]++
	r.maxConcurrent[record.Host] = max(r.maxConcurrent[record.Host], r.running[record.Host])
	if len(r.all) >= r.limit {
		r.dropped++
		return &record
	}
	r.all = append(r.all, &record)
	return &record
}

// update changes a record.
func (r *records) update(record *Record, change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(record)
}

// end completes a record. A record whose complete answer was already written keeps the end time of that write.
func (r *records) end(record *Record, complete, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(record)
	if !complete || !record.Complete {
		record.End = time.Now()
	}
	record.Complete = complete
	record.Cut = cut
}

// free marks the request as no longer running. If complete is set, the rest of its answer is about to be written: the
// record is completed first, since the client may read the records as soon as it has the answer.
func (r *records) free(record *Record, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(record)
	if complete {
		record.End = time.Now()
		record.Complete = true
	}
}

func (r *records) release(record *Record) {
	if !record.freed {
		record.freed = true
		r.running[record.Host]--
	}
}

// list returns copies of the records in the order in which the requests started.
func (r *records) list() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	copies := make([]Record, len(r.all))
	for i, record := range r.all {
		copies[i] = *record
	}
	return copies
}

// counts summarizes the records.
func (r *records) counts(now time.Time) Counts {
	all := r.list()
	c := Counts{Doubled: map[string]int{}, PoolOverlaps: map[string]int{}, PoolSwitches: map[string]int{}}
	runs := map[string]int{}
	byHost := map[string][]Record{}
	for _, record := range all {
		c.add(record)
		if record.Ran && record.Key != "" {
			runs[record.Service+"/"+record.Key]++
		}
		byHost[record.Host] = append(byHost[record.Host], record)
	}
	for key, count := range runs {
		if count > 1 {
			c.Doubled[key] = count
		}
	}
	for host, ofHost := range byHost {
		c.PoolOverlaps[host], c.PoolSwitches[host] = poolChanges(now, ofHost)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.Dropped = r.dropped
	c.MaxConcurrent = map[string]int{}
	for host, count := range r.maxConcurrent {
		c.MaxConcurrent[host] = count
	}
	return c
}

func (c *Counts) add(record Record) {
	c.Requests++
	if record.Ran {
		c.Ran++
	}
	if record.Complete {
		c.Complete++
	}
	if record.Cut {
		c.Cut++
	}
}

// poolChanges returns the numbers of overlaps and switches between pools on one host.
func poolChanges(now time.Time, ofHost []Record) (overlaps, switches int) {
	slices.SortStableFunc(ofHost, func(a, b Record) int { return a.Start.Compare(b.Start) })
	busyUntil := map[string]time.Time{}
	for i, record := range ofHost {
		if i > 0 && record.Pool != ofHost[i-1].Pool {
			switches++
		}
		for pool, until := range busyUntil {
			if pool != record.Pool && until.After(record.Start) {
				overlaps++
			}
		}
		end := record.End
		if end.IsZero() {
			end = now
		}
		if end.After(busyUntil[record.Pool]) {
			busyUntil[record.Pool] = end
		}
	}
	return overlaps, switches
}
