package fleetowner

import (
	"context"
	"log/slog"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/quota"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/upkeep"
	"github.com/zeebo/errs"
)

// Replaced is the error of a term that has ended because another owner holds the fleet.
var Replaced = errs.Class("fleetowner: another owner holds the fleet; acquire it again before ordering")

// PoolReplaced is the error of a write that depends on the status of a pool's owner that has been replaced.
var PoolReplaced = errs.Class("fleetowner: a pool has another owner; request its status before ordering")

// Hosts is the service that lists hosts and accepts orders for them. Each call ends with ctx at the latest.
type Hosts interface {
	// List returns all hosts.
	List(ctx context.Context) ([]upkeep.Host, error)
	// Move orders a host to move to a pool.
	Move(ctx context.Context, host, pool, holder string, fence uint64) upkeep.Result
	// Upkeep orders a host to its upkeep for a wave.
	Upkeep(ctx context.Context, host string, wave int64, holder string, fence uint64) upkeep.Result
}

// Pools calls the owners of pools.
type Pools interface {
	Status(ctx context.Context, request *pb.PoolStatusRequest) (*pb.PoolStatusResponse, error)
}

// Pool is a pool of the configuration.
type Pool struct {
	Name  string
	Spare bool
}

// Names defines where waves and their states are stored, and in which format.
type Names struct {
	// WavePrefix is the prefix under which operators write waves.
	WavePrefix string
	// ParseWave decodes a wave. It does not set Seen.
	ParseWave func(key string, data []byte) (upkeep.Wave, error)
	// StatusKey and Status return the key and the encoded value of a wave's state.
	StatusKey func(wave int64) string
	Status    func(wave int64, completed bool) []byte
	// RecordPrefix is the prefix of the records of progress; it ends with a slash.
	RecordPrefix string
	// MovesKey is the key of the record of open moves. It is not below RecordPrefix.
	MovesKey string
}

// Options are the options of an Owner. All fields but Clock and Logger must be set.
type Options struct {
	Hosts Hosts
	Pools Pools
	// Configured returns the pools of the configuration in force. It is called often.
	Configured func() []Pool
	// Workspaces returns the workspaces of the configuration in force, nil if it has none. It is called often and may be nil.
	Workspaces func() []queue.Workspace
	Store      store.Transactor
	Names      Names
	Config     upkeep.Config
	// Holder identifies this owner in orders.
	Holder string
	// Confirmed returns the fencing token, and whether it is still held. It is called before each order.
	Confirmed func() (fence uint64, ok bool)
	// Guard returns the condition under which the store accepts a write of the holder of a fencing token.
	Guard func(fence uint64) store.Condition
	// PoolGuard returns the condition under which the store accepts a write while the owner of a pool holds that
	// fencing token.
	PoolGuard func(pool string, fence uint64) store.Condition
	// ChangesPerSecond and ReadsPerSecond limit the rate of calls on Hosts.
	ChangesPerSecond float64
	ReadsPerSecond   float64
	// Clock must ignore steps of the system time, since its times are compared with those that earlier owners
	// recorded. It defaults to time.Now.
	Clock  func() time.Time
	Logger *slog.Logger
	// ShowAllocations receives what is allocated of the caps, about every second, and nil at the end of a term. It may be nil.
	ShowAllocations func([]quota.Allocation)
}
