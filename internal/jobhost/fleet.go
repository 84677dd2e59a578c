package jobhost

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/fleetowner"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/internal/membership"
	"github.com/agateturn/agateturn/internal/poolowner"
	"github.com/agateturn/agateturn/platform"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/upkeep"
)

const (
	// waveRecordPrefix is the key prefix of the progress records of waves.
	waveRecordPrefix = "agateturn/wave/"
	// openMovesKey is the key of the moves in progress.
	openMovesKey = "agateturn/moves"
	// intentsTimeout bounds the reads of the wave records, the moves and the fleet's owner key in intents.
	intentsTimeout = 3 * time.Second
)

// runFleet acts as the owner of the fleet until ctx ends or the owner fails. Without an address of the host API,
// it only waits for ctx to end.
func (h *Host) runFleet(ctx context.Context, fence uint64) {
	api := h.settings.Load().GetHostApi()
	if api.GetAddress() == "" {
		<-ctx.Done()
		return
	}
	hosts := platform.NewMachines(api.GetAddress())
	defer hosts.Close()
	owner := fleetowner.New(fleetowner.Options{
		Hosts:      hostAdapter{hosts},
		Pools:      poolAdapter{h},
		Configured: h.configuredPools,
		Workspaces: h.configuredWorkspaces,
		Store:      h.kv,
		Names: fleetowner.Names{
			WavePrefix:   platform.WavePrefix,
			ParseWave:    parseWave,
			StatusKey:    platform.WaveStatusKey,
			Status:       platform.FormatWaveStatus,
			RecordPrefix: waveRecordPrefix,
			MovesKey:     openMovesKey,
		},
		Config: h.upkeepConfig(),
		Holder: h.settings.Load().GetJobHost().GetName(),
		Confirmed: func() (uint64, bool) {
			held, ok := h.members.Confirmed(membership.FleetPool)
			return held, ok && held == fence
		},
		Guard: func(fence uint64) store.Condition {
			return store.Condition{Key: jobkeys.Owner(membership.FleetPool), Version: fence}
		},
		PoolGuard: func(pool string, fence uint64) store.Condition {
			return store.Condition{Key: jobkeys.Owner(pool), Version: fence}
		},
		ChangesPerSecond: api.GetChangesPerSecond(),
		ReadsPerSecond:   api.GetReadsPerSecond(),
		Clock:            h.clock.Now,
		Logger:           h.log,
		ShowAllocations:  h.workspaceGauges.show,
	})
	err := owner.Run(ctx)
	if fleetowner.Replaced.Has(err) {
		h.members.Replaced(membership.FleetPool, fence)
		return
	}
	if err != nil {
		events.Emit(ctx, h.log, events.PoolOwnerEnded, "pool", membership.FleetPool, "fence", fence, "err", err)
	}
}

// intents reads which hosts may have been ordered to leave a pool. The fence is read last, so that no intent read belongs to
// an owner of the fleet with a higher fence.
func (h *Host) intents(ctx context.Context, pool string) (poolowner.Intents, error) {
	if h.settings.Load().GetHostApi().GetAddress() == "" {
		return poolowner.Intents{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, intentsTimeout)
	defer cancel()
	hosts, err := fleetowner.OrderedHosts(ctx, h.kv, pool, waveRecordPrefix, openMovesKey)
	if err != nil {
		return poolowner.Intents{}, err
	}
	owner, err := h.kv.Get(ctx, jobkeys.Owner(membership.FleetPool))
	return poolowner.Intents{Hosts: hosts, FleetFence: owner.Version}, err
}

// upkeepConfig returns the upkeep configuration that follows from the settings.
func (h *Host) upkeepConfig() upkeep.Config {
	s := h.settings.Load()
	b := s.GetJobBounds()
	u := s.GetJobUpkeep()
	config := upkeep.DefaultConfig(b.GetUpkeepTime().AsDuration(), b.GetMoveTime().AsDuration())
	config.Moves = upkeep.MoveConfig{
		Enabled:          u.GetMoves() != "never",
		Foresee:          u.GetMoves() == "foresee",
		MovePrice:        u.GetMovePrice(),
		SecondPrice:      u.GetSecondPrice(),
		WorkWorth:        u.GetWorkWorth(),
		Join:             u.GetJoin().AsDuration(),
		Drain:            u.GetDrain().AsDuration(),
		Use:              u.GetUse(),
		Idle:             u.GetIdleHosts(),
		Reserve:          u.GetReserve().AsDuration(),
		Ahead:            u.GetAhead().AsDuration(),
		Learn:            u.GetLearn().AsDuration(),
		GiveUp:           u.GetGiveUp().AsDuration(),
		Pause:            u.GetPause().AsDuration(),
		PersistentAtOnce: int(u.GetPersistentAtOnce()),
	}
	return config
}

// configuredPools returns the pools of the current configuration.
func (h *Host) configuredPools() []fleetowner.Pool {
	table := h.tables.Table()
	if table == nil {
		return nil
	}
	out := make([]fleetowner.Pool, 0, len(table.Pools))
	for _, p := range table.Pools {
		out = append(out, fleetowner.Pool{Name: p.Name, Spare: p.Spare})
	}
	return out
}

func parseWave(_ string, data []byte) (upkeep.Wave, error) {
	order, err := platform.ParseWave(data)
	return upkeep.Wave{Number: order.Wave, Hosts: order.Machines, Within: order.Within, Cap: order.Cap}, err
}

// poolAdapter sends status requests to the owners of pools.
type poolAdapter struct{ *Host }

// Status sets which workers of a pool to evacuate and returns the load of the pool.
func (p poolAdapter) Status(ctx context.Context, r *pb.PoolStatusRequest) (*pb.PoolStatusResponse, error) {
	return p.peers.PoolStatus(ctx, r)
}

// hostAdapter adapts the platform's client for hosts to fleetowner.
type hostAdapter struct{ *platform.Machines }

// List returns all hosts.
func (m hostAdapter) List(ctx context.Context) ([]upkeep.Host, error) {
	hosts, err := m.Machines.List(ctx)
	out := make([]upkeep.Host, 0, len(hosts))
	for _, host := range hosts {
		out = append(out, upkeep.Host{
			ID: host.ID, Pool: host.Pool, State: toHostState(host.State), DataCentre: host.DataCentre, Rack: host.Rack, Labels: host.Labels,
			CPUMilli: host.Capacity.CPUMilli, MemoryMB: host.Capacity.MemoryMB, GPU: host.Capacity.GPU, Worker: host.Worker,
		})
	}
	return out, err
}

// Move orders a host to a pool.
func (m hostAdapter) Move(ctx context.Context, host, pool, holder string, fence uint64) upkeep.Result {
	return toResult(m.Machines.Move(ctx, host, pool, holder, fence))
}

// Upkeep orders a host to its upkeep for a wave.
func (m hostAdapter) Upkeep(ctx context.Context, host string, wave int64, holder string, fence uint64) upkeep.Result {
	return toResult(m.Machines.Upkeep(ctx, host, wave, holder, fence))
}

func toHostState(s platform.MachineState) upkeep.HostState {
	switch s {
	case platform.MachineUp:
		return upkeep.Up
	case platform.MachineMoving:
		return upkeep.Moving
	case platform.MachineUpkeep:
		return upkeep.Upkeep
	case platform.MachineDown:
		return upkeep.Down
	default:
		return upkeep.StateUnknown
	}
}

func toResult(o platform.MachineOutcome) upkeep.Result {
	switch o {
	case platform.MachineDone:
		return upkeep.Done
	case platform.MachineFenced:
		return upkeep.Fenced
	case platform.MachineBusy:
		return upkeep.Busy
	case platform.MachineWrongWave, platform.MachineInvalid:
		return upkeep.Unfit
	case platform.MachineLimited, platform.MachineUnavailable:
		return upkeep.Refused
	default:
		return upkeep.Unknown
	}
}
