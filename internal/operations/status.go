package operations

import (
	"context"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/stats"
)

// Status implements operatorapi.Backend.
func (b *Operations) Status(ctx context.Context) operatorapi.Status {
	now := time.Now()
	f, cfg := b.view.Fleet(), b.view.Config()
	reports, err := b.peers.Reports(ctx)
	if err != nil {
		reports = map[string]fleet.Received{}
	}
	s := operatorapi.Status{
		EntryHost:     b.self.GetName(),
		Incarnation:   b.self.GetIncarnation(),
		Controller:    f.GetController(),
		Term:          f.GetTerm(),
		FleetRevision: f.GetRevision(),
		Generation:    cfg.GetGeneration(),
		StoreAgeMS:    b.view.StoreAge(now).Milliseconds(),
		Members:       memberStatuses(f, reports, now),
		Hosts:         b.hostStatuses(f, cfg, reports, now),
		Waves:         lo.Map(f.GetWaves(), waveStatus),
		Pools:         poolStatuses(f, cfg, reports),
		Slots:         b.dispatch.SlotStatus(ctx),
		Measures:      b.meter.Snapshot(),
		Latencies:     lo.Map(b.stats.Snapshot(), latency),
	}
	if err := b.ready(); err != nil {
		s.NotReady = err.Error()
	} else {
		s.Ready = true
	}
	return s
}

func memberStatuses(f *pb.Fleet, reports map[string]fleet.Received, now time.Time) []operatorapi.MemberStatus {
	return lo.Map(f.GetMembers(), func(m *pb.Member, _ int) operatorapi.MemberStatus {
		status := operatorapi.MemberStatus{
			Name:        m.GetName(),
			DataCentre:  m.GetDataCentre(),
			Incarnation: m.GetIncarnation(),
			Leaving:     m.GetLeaving(),
			HeardMSAgo:  -1,
		}
		if r, reported := reports[m.GetIncarnation()]; reported {
			status.Ready = r.Heartbeat.GetReady()
			status.FleetRevision = r.Heartbeat.GetFleetRevision()
			status.Generation = r.Heartbeat.GetConfigGeneration()
			status.HeardMSAgo = now.Sub(r.At).Milliseconds()
		}
		return status
	})
}

func (b *Operations) hostStatuses(f *pb.Fleet, cfg *pb.Configuration, reports map[string]fleet.Received, now time.Time) []operatorapi.HostStatus {
	hosts := lo.KeyBy(cfg.GetHosts(), (*pb.Host).GetName)
	barrier := fleet.Reports{Now: now, PauseLimit: b.pauseLimit, Heartbeats: reports}
	return lo.Map(f.GetHosts(), func(h *pb.HostState, _ int) operatorapi.HostStatus {
		status := operatorapi.HostStatus{
			Name:       h.GetHost(),
			DataCentre: hosts[h.GetHost()].GetDataCentre(),
			Rack:       hosts[h.GetHost()].GetRack(),
			Pool:       h.GetPool(),
			Phase:      fleet.PhaseName(h.GetPhase()),
			Purpose:    purposeWord(h.GetPurpose()),
			TargetPool: h.GetTargetPool(),
			Wave:       h.GetWave(),
			SinceMS:    h.GetPhaseSinceUnixMs(),
		}
		if h.GetPhase() == pb.HostPhase_HOST_PHASE_DRAINING {
			status.HeldBy = lo.Map(fleet.Holders(f, h.GetHost(), barrier), holderStatus)
		}
		return status
	})
}

func holderStatus(h fleet.Holder, _ int) operatorapi.HolderStatus {
	return operatorapi.HolderStatus{
		Member:   h.Name,
		Requests: h.Requests,
		OldestMS: h.Oldest.Milliseconds(),
		Lagging:  h.Reason != fleet.InFlight,
	}
}

// word converts the name of an enum value to the lower-case word shown to operators.
func word(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}

func purposeWord(p pb.HostPurpose) string {
	if p == pb.HostPurpose_HOST_PURPOSE_UNSPECIFIED {
		return ""
	}
	return word(p.String(), "HOST_PURPOSE_")
}

func waveStatus(w *pb.Wave, _ int) operatorapi.WaveStatus {
	return operatorapi.WaveStatus{
		Name:       w.GetName(),
		Phase:      word(w.GetPhase().String(), "WAVE_PHASE_"),
		Pending:    len(w.GetPending()),
		InProgress: w.GetInProgress(),
		Done:       len(w.GetDone()),
		Failed:     w.GetFailed(),
		Reason:     w.GetReason(),
	}
}

func poolStatuses(f *pb.Fleet, cfg *pb.Configuration, reports map[string]fleet.Received) []operatorapi.PoolStatus {
	hosts := lo.KeyBy(cfg.GetHosts(), (*pb.Host).GetName)
	return lo.Map(cfg.GetPools(), func(p *pb.Pool, _ int) operatorapi.PoolStatus {
		status := operatorapi.PoolStatus{Name: p.GetName()}
		for _, h := range f.GetHosts() {
			if h.GetPool() != p.GetName() {
				continue
			}
			status.Hosts++
			if h.GetPhase() == pb.HostPhase_HOST_PHASE_ACTIVE {
				status.Active++
				status.Slots += hosts[h.GetHost()].GetSlots()
			}
		}
		for _, r := range reports {
			for _, demand := range r.Heartbeat.GetDemand() {
				if demand.GetPool() == p.GetName() {
					status.Running += demand.GetRunning()
					status.Queued += demand.GetQueued()
				}
			}
		}
		return status
	})
}

func latency(r stats.Row, _ int) operatorapi.Latency {
	return operatorapi.Latency{
		Service:  r.Service,
		Team:     r.Team,
		Class:    r.Class,
		Count:    r.Count,
		Outcomes: lo.SliceToMap(r.Outcomes, func(o stats.OutcomeCount) (string, int64) { return o.Outcome, o.Count }),
		P50:      millis(r.Total.P50),
		P90:      millis(r.Total.P90),
		P99:      millis(r.Total.P99),
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
