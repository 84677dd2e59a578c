package waves

import (
	"fmt"
	"slices"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Apply writes the actions into a draft. It skips an action that the draft no longer allows because another order took
// the host in the same step; the next Step decides again.
func Apply(d *fleet.Draft, actions []Action, now time.Time) {
	for _, a := range actions {
		if a.Kind == Wait {
			continue
		}
		if a.Kind == StartMaintenance && !startMaintenance(d, a, now) {
			continue
		}
		if a.Kind == YieldHost && d.Cancel(a.Host, now) != nil {
			continue
		}
		if a.Kind == FailHost && d.Host(a.Host).GetPhase() == pb.HostPhase_HOST_PHASE_MAINTENANCE {
			// The host is in the draft, so MarkDown can't fail.
			_ = d.MarkDown(a.Host, d.Host(a.Host).OperationId, now)
		}
		d.EditWave(a.Wave, func(w *pb.Wave) { updateWave(w, a) })
	}
}

// startMaintenance drains the host of a StartMaintenance action and reports whether the drain began. The operation id
// contains the fleet's revision, so that a second drain of the same host by the same wave is a new operation.
func startMaintenance(d *fleet.Draft, a Action, now time.Time) bool {
	operationID := fmt.Sprintf("wave/%s/%s/%d", a.Wave, a.Host, d.Fleet().GetRevision())
	return d.BeginMaintenance(a.Host, a.Wave, operationID, now) == nil
}

func updateWave(w *pb.Wave, a Action) {
	switch a.Kind {
	case StartMaintenance:
		w.Pending = without(w.Pending, a.Host)
		w.InProgress = append(w.InProgress, a.Host)
	case FinishHost:
		w.InProgress = without(w.InProgress, a.Host)
		w.Done = append(w.Done, a.Host)
	case FailHost:
		w.InProgress = without(w.InProgress, a.Host)
		w.Done = without(w.Done, a.Host)
		w.Failed = append(w.Failed, a.Host)
	case DropHost:
		w.InProgress = without(w.InProgress, a.Host)
		w.Pending = without(w.Pending, a.Host)
	case YieldHost:
		w.InProgress = without(w.InProgress, a.Host)
		w.Pending = append(w.Pending, a.Host)
	case StopWave:
		w.Phase = pb.WavePhase_WAVE_PHASE_STOPPED
		w.Reason = a.Reason
	case FinishWave:
		w.Phase = pb.WavePhase_WAVE_PHASE_DONE
	default:
	}
}

func without(hosts []string, host string) []string {
	return slices.DeleteFunc(hosts, func(h string) bool { return h == host })
}
