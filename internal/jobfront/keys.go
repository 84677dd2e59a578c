package jobfront

import (
	"context"
	"net/http"
	"time"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
)

// authenticate sets the workspace of a request by its API key. It returns an answer if the request is rejected.
//
// A host whose table was not confirmed lately cannot tell an unknown key from a new one, nor a known key from one that was
// removed meanwhile. States and counts are still served then, as they change nothing.
func (f *Front) authenticate(ctx context.Context, table *indexedTable, r *http.Request, parsed *request) *reply {
	if table.keys == nil {
		return nil
	}
	workspace, known := "", false
	if keys := r.Header.Values(f.options.KeyHeader); len(keys) == 1 {
		workspace, known = table.keys.Find(keys[0])
	}
	parsed.presented = workspace
	if parsed.queue.Public {
		return nil
	}
	if !known {
		if f.options.Tables.ConfirmedRecently() && f.isCurrent(table) {
			return &reply{status: http.StatusUnauthorized, reason: reasonUnknownKey}
		}
		return &reply{status: http.StatusServiceUnavailable, retry: true, reason: reasonKeyMayBeNew}
	}
	if r.Method != http.MethodGet && !f.keysConfirmed(ctx, table) {
		return &reply{status: http.StatusServiceUnavailable, retry: true, reason: reasonKeyMayBeRemoved}
	}
	parsed.workspace, parsed.cap = workspace, table.caps[workspace]
	return nil
}

// keysConfirmed reports whether the table was confirmed within MaxTableAge, and logs changes of that.
func (f *Front) keysConfirmed(ctx context.Context, table *indexedTable) bool {
	age := f.options.Tables.ConfirmedAge()
	confirmed := age <= f.options.MaxTableAge()
	if f.keysUnconfirmed.Swap(!confirmed) == confirmed {
		if confirmed {
			events.Emit(ctx, f.options.Log, events.KeysConfirmed)
		} else {
			events.Emit(ctx, f.options.Log, events.KeysUnconfirmed, "age_ms", min(age, maxStoreAge*time.Second).Milliseconds())
		}
	}
	return confirmed && f.isCurrent(table)
}

// isCurrent reports whether the table is still the one in force. It is checked after the table's age, which could otherwise be
// that of a later table if the process was paused in between.
func (f *Front) isCurrent(table *indexedTable) bool { return f.options.Tables.Table() == table.table }

// exceedsCap reports whether a job can never run because one of its tasks, or one whole gang, is larger than the cap. The
// processor need of backfill tasks does not count, as in the scheduler.
func exceedsCap(spec *pb.JobSpec, limit queue.Cap) bool {
	exceeds := func(need, atOnce, limit int64) bool { return limit > 0 && need > limit/atOnce }
	for _, s := range spec.GetSteps() {
		atOnce, cpu := int64(1), s.GetCpuMilli()
		if s.GetGang() {
			atOnce = max(1, s.GetCount())
		}
		if s.GetFills() {
			cpu = 0
		}
		if exceeds(cpu, atOnce, limit.CPUMilli) || exceeds(s.GetMemoryMb(), atOnce, limit.MemoryMB) || exceeds(s.GetGpu(), atOnce, limit.GPU) {
			return true
		}
	}
	return false
}
