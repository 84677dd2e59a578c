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
	// waveRecords is where the progress of waves is kept.
	waveRecords = "agateturn/wave/"
	// openMoves is where moves are kept until they are over.
	openMoves = "agateturn/moves"
	// intentsTimeout bounds a reading of both.
	intentsTimeout = 3 * time.Second
)

// runFleet acts as the owner of the fleet until ctx ends.
func (h *Host) runFleet(ctx context.Context, fence uint64) {
	api := h.settings.Load().GetHostApi()
	if api.GetAddress() == "" {
		<-ctx.Done()
		return
	}
	hosts := platform.NewMachines(api.GetAddress())
	defer hosts.Close()
	owner := fleetowner.New(fleetowner.Options{
		Hosts:      hostCalls{hosts},
		Pools:      poolCalls{h},
		Configured: h.configuredPools,
		Store:      h.kv,
		Names: fleetowner.Names{
			WavePrefix:   platform.WavePrefix,
			ParseWave:    parseWave,
			StatusKey:    platform.WaveStatusKey,
			Status:       platform.FormatWaveStatus,
			RecordPrefix: waveRecords,
			MovesKey:     openMoves,
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

// intents reads which hosts may be ordered away. The fence is read last, so that no later owner's intent goes with it.
func (h *Host) intents(ctx context.Context, pool string) (poolowner.Intents, error) {
	if h.settings.Load().GetHostApi().GetAddress() == "" {
		return poolowner.Intents{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, intentsTimeout)
	defer cancel()
	hosts, err := fleetowner.OrderedHosts(ctx, h.kv, pool, waveRecords, openMoves)
	if err != nil {
		return poolowner.Intents{}, err
	}
	owner, err := h.kv.Get(ctx, jobkeys.Owner(membership.FleetPool))
	return poolowner.Intents{Hosts: hosts, FleetFence: owner.Version}, err
}

// upkeepConfig is made from the bounds and weights of the settings.
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

// configuredPools lists the pools of the configuration in force.
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

// poolCalls asks the owners of pools for their load.
type poolCalls struct{ *Host }

// Status tells the load of a pool, and sets which of its workers are to be emptied.
func (p poolCalls) Status(ctx context.Context, r *pb.PoolStatusRequest) (*pb.PoolStatusResponse, error) {
	return p.peers.PoolStatus(ctx, r)
}

// hostCalls adapts the platform's client of hosts.
type hostCalls struct{ *platform.Machines }

// List returns all hosts.
func (m hostCalls) List(ctx context.Context) ([]upkeep.Host, error) {
	hosts, err := m.Machines.List(ctx)
	out := make([]upkeep.Host, 0, len(hosts))
	for _, x := range hosts {
		out = append(out, upkeep.Host{
			ID: x.ID, Pool: x.Pool, State: hostState(x.State), DataCentre: x.DataCentre, Rack: x.Rack, Labels: x.Labels,
			CPUMilli: x.Capacity.CPUMilli, MemoryMB: x.Capacity.MemoryMB, GPU: x.Capacity.GPU, Worker: x.Worker,
		})
	}
	return out, err
}

// Move orders a host to a pool.
func (m hostCalls) Move(ctx context.Context, host, pool, holder string, fence uint64) upkeep.Result {
	return result(m.Machines.Move(ctx, host, pool, holder, fence))
}

// Upkeep orders a host to its upkeep for a wave.
func (m hostCalls) Upkeep(ctx context.Context, host string, wave int64, holder string, fence uint64) upkeep.Result {
	return result(m.Machines.Upkeep(ctx, host, wave, holder, fence))
}

func hostState(s platform.MachineState) upkeep.HostState {
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

func result(o platform.MachineOutcome) upkeep.Result {
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
