package operatorapi

import (
	"context"

	"github.com/zeebo/errs"
)

// Error classes that a Backend returns, each with its HTTP status.
var (
	// Refused means that the order cannot be executed as given (422).
	Refused = errs.Class("refused")
	// Conflict means that another operator's change came first (409).
	Conflict = errs.Class("conflict")
	// NotFound means that the order names something that does not exist (404).
	NotFound = errs.Class("not found")
	// Unavailable means that nothing was changed and a retry may succeed (503).
	Unavailable = errs.Class("unavailable")
	// Unknown means that the change may have been made; repeat it with the same operation id (504).
	Unknown = errs.Class("outcome unknown")
)

// Backend executes the operators' requests. Its methods are called concurrently.
type Backend interface {
	// Status returns the deployment as this entry host sees it.
	Status(ctx context.Context) Status
	// Configuration returns the configuration in force, as INI; empty before the first one.
	Configuration(ctx context.Context) (ConfigDocument, error)
	// ApplyConfiguration submits a configuration for acceptance. Repeating a change id does not apply the change twice.
	ApplyConfiguration(ctx context.Context, change ConfigChange) (ConfigResult, error)
	// MoveHost starts the move of a host to another pool.
	MoveHost(ctx context.Context, order MoveOrder) (Accepted, error)
	// SetHostDown takes a failed host out of service, or brings it back.
	SetHostDown(ctx context.Context, order DownOrder) (Accepted, error)
	// CreateWave starts a maintenance wave.
	CreateWave(ctx context.Context, order WaveOrder) (Accepted, error)
	// ControlWave stops, resumes or cancels a wave.
	ControlWave(ctx context.Context, order WaveControl) (Accepted, error)
	// Ready returns nil while this entry host accepts work.
	Ready() error
}

// Status is the deployment as one entry host sees it.
type Status struct {
	EntryHost     string         `json:"entry_host"`
	Incarnation   string         `json:"incarnation"`
	Ready         bool           `json:"ready"`
	NotReady      string         `json:"not_ready,omitempty" doc:"Why this entry host takes no work"`
	Controller    string         `json:"controller"`
	Term          uint64         `json:"term"`
	FleetRevision uint64         `json:"fleet_revision"`
	Generation    uint64         `json:"config_generation"`
	StoreAgeMS    int64          `json:"store_age_ms" doc:"Time since the store last answered this entry host"`
	Members       []MemberStatus `json:"members"`
	Hosts         []HostStatus   `json:"hosts"`
	Waves         []WaveStatus   `json:"waves"`
	Pools         []PoolStatus   `json:"pools"`
	Slots         SlotStatus     `json:"slots"`
	Measures      Measures       `json:"measures"`
	Latencies     []Latency      `json:"latencies"`
}

// MemberStatus is one entry host as seen from this one.
type MemberStatus struct {
	Name          string `json:"name"`
	DataCentre    string `json:"data_centre"`
	Incarnation   string `json:"incarnation"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
	FleetRevision uint64 `json:"fleet_revision"`
	Generation    uint64 `json:"config_generation"`
	HeardMSAgo    int64  `json:"heard_ms_ago" doc:"Time since its last heartbeat; -1 for never"`
}

// HostStatus is one worker.
type HostStatus struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	Rack       string         `json:"rack"`
	Pool       string         `json:"pool"`
	Phase      string         `json:"phase"`
	Purpose    string         `json:"purpose,omitempty"`
	TargetPool string         `json:"target_pool,omitempty"`
	Wave       string         `json:"wave,omitempty"`
	SinceMS    int64          `json:"since_unix_ms"`
	HeldBy     []HolderStatus `json:"held_by,omitempty" doc:"Who holds up the drain"`
}

// HolderStatus is an entry host that has not released a draining host.
type HolderStatus struct {
	Member   string `json:"member"`
	Requests int64  `json:"requests"`
	OldestMS int64  `json:"oldest_ms"`
	Lagging  bool   `json:"lagging" doc:"It has not applied the drain yet"`
}

// WaveStatus is one maintenance wave.
type WaveStatus struct {
	Name       string   `json:"name"`
	Phase      string   `json:"phase"`
	Pending    int      `json:"pending"`
	InProgress []string `json:"in_progress"`
	Done       int      `json:"done"`
	Failed     []string `json:"failed"`
	Reason     string   `json:"reason,omitempty"`
}

// PoolStatus aggregates one pool over all entry hosts.
type PoolStatus struct {
	Name    string `json:"name"`
	Hosts   int    `json:"hosts"`
	Active  int    `json:"active"`
	Slots   int64  `json:"slots"`
	Running int64  `json:"running"`
	Queued  int64  `json:"queued"`
}

// SlotStatus counts this entry host's slots.
type SlotStatus struct {
	Own      int `json:"own"`
	InUse    int `json:"in_use"`
	Lent     int `json:"lent"`
	Borrowed int `json:"borrowed"`
	Waiting  int `json:"waiting" doc:"Own slots that may not be used yet, since a former holder has not reported"`
}

// Measures are the three measures of the deployment, since this entry host started.
type Measures struct {
	BufferHostSeconds float64 `json:"buffer_host_seconds" doc:"Active hosts of the spare pool, summed over time"`
	RollOutSeconds    float64 `json:"roll_out_seconds" doc:"Mean time from acceptance until in force everywhere"`
	RollOuts          int64   `json:"roll_outs"`
	Moves             int64   `json:"moves" doc:"Hosts that changed pool"`
}

// Latency is one service's histogram for a team and class, in milliseconds.
type Latency struct {
	Service  string           `json:"service"`
	Team     string           `json:"team"`
	Class    string           `json:"class"`
	Count    int64            `json:"count"`
	Outcomes map[string]int64 `json:"outcomes" doc:"Requests by how they ended"`
	P50      float64          `json:"p50_ms"`
	P90      float64          `json:"p90_ms"`
	P99      float64          `json:"p99_ms"`
}

// ConfigDocument is a configuration in its INI form.
type ConfigDocument struct {
	Generation uint64 `json:"generation"`
	ChangeID   string `json:"change_id"`
	INI        string `json:"ini"`
}

// ConfigChange requests a new configuration.
type ConfigChange struct {
	ChangeID       string `json:"change_id" minLength:"8" maxLength:"64" doc:"Identity of the change; repeat it after a lost answer"`
	BaseGeneration uint64 `json:"base_generation" doc:"Generation that the change was made from"`
	INI            string `json:"ini" maxLength:"1048576"`
	DryRun         bool   `json:"dry_run,omitempty"`
}

// ConfigResult is the result of a change, or of its dry run.
type ConfigResult struct {
	Generation uint64   `json:"generation"`
	Changes    []string `json:"changes"`
	// Repeated is true if the same change had been accepted before.
	Repeated bool `json:"repeated"`
}

// MoveOrder moves a host.
type MoveOrder struct {
	Host        string `json:"-"`
	Target      string `json:"target_pool" minLength:"1"`
	OperationID string `json:"operation_id" minLength:"8" maxLength:"64"`
}

// DownOrder takes a host out of service or brings it back.
type DownOrder struct {
	Host        string `json:"-"`
	Down        bool   `json:"down"`
	OperationID string `json:"operation_id" minLength:"8" maxLength:"64"`
}

// WaveOrder creates a wave.
type WaveOrder struct {
	Name        string   `json:"name" minLength:"1" maxLength:"64"`
	Hosts       []string `json:"hosts,omitempty" doc:"Hosts to maintain; empty for all of Pool, or all"`
	Pool        string   `json:"pool,omitempty"`
	OperationID string   `json:"operation_id" minLength:"8" maxLength:"64"`
}

// WaveControl stops, resumes or cancels a wave.
type WaveControl struct {
	Name   string `json:"-"`
	Action string `json:"action" enum:"stop,resume,cancel"`
	Reason string `json:"reason,omitempty" maxLength:"200"`
}

// Accepted is the answer to an order that has been stored.
type Accepted struct {
	FleetRevision uint64 `json:"fleet_revision"`
}
