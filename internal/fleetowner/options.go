package fleetowner

import (
	"context"
	"log/slog"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/upkeep"
	"github.com/zeebo/errs"
)

// Replaced is the error of a term that has ended because another owner holds the fleet.
var Replaced = errs.Class("fleetowner: another owner holds the fleet; take it again before ordering")

// PoolReplaced is the error of a write that rests on the word of a pool's owner who has been replaced.
var PoolReplaced = errs.Class("fleetowner: a pool has another owner; ask it before ordering")

// Hosts is the service that lists hosts and takes orders for them. Each call ends with ctx at the latest.
type Hosts interface {
	// List returns all hosts.
	List(ctx context.Context) ([]upkeep.Host, error)
	// Move orders a host to a pool.
	Move(ctx context.Context, host, pool, holder string, fence uint64) upkeep.Result
	// Upkeep orders a host to its upkeep for a wave.
	Upkeep(ctx context.Context, host string, wave int64, holder string, fence uint64) upkeep.Result
}

// Pools reaches the owners of pools.
type Pools interface {
	Status(ctx context.Context, request *pb.PoolStatusRequest) (*pb.PoolStatusResponse, error)
}

// Pool is a pool of the configuration.
type Pool struct {
	Name  string
	Spare bool
}

// Names tells where waves and their states lie in the store, and in which form.
type Names struct {
	// WavePrefix is where operators write waves.
	WavePrefix string
	// ParseWave reads a wave. Seen is not set by it.
	ParseWave func(key string, data []byte) (upkeep.Wave, error)
	// StatusKey and Status are where and in which form a wave's state is written.
	StatusKey func(wave int64) string
	Status    func(wave int64, completed bool) []byte
	// RecordPrefix is where progress is kept; it ends with a slash.
	RecordPrefix string
	// MovesKey is where open moves are kept. It is not below RecordPrefix.
	MovesKey string
}

// Options of an Owner. All fields but Clock and Logger must be set.
type Options struct {
	Hosts Hosts
	Pools Pools
	// Configured returns the pools of the configuration in force. It is called often.
	Configured func() []Pool
	Store      store.Transactor
	Names      Names
	Config     upkeep.Config
	// Holder names this owner in orders.
	Holder string
	// Confirmed returns the fence, and whether it is still held. It is asked before each order.
	Confirmed func() (fence uint64, ok bool)
	// Guard is the condition under which the store takes a write of the holder of a fence.
	Guard func(fence uint64) store.Condition
	// PoolGuard is the condition under which the store takes a write while the owner of a pool has that fence.
	PoolGuard func(pool string, fence uint64) store.Condition
	// ChangesPerSecond and ReadsPerSecond bound the calls on Hosts.
	ChangesPerSecond float64
	ReadsPerSecond   float64
	// Clock ignores steps of the time of day, since its times are compared with those that earlier owners wrote down.
	// time.Now if nil.
	Clock  func() time.Time
	Logger *slog.Logger
}
