package events

import "log/slog"

// The first digit of a number is its group: 1xx for the process, 2xx for store and platform, and so on.
// A new event takes the next free number of its group. The number of a removed event moves to retired.

// The process.
var (
	Started         = Event{Number: 101, Name: "started", Level: slog.LevelInfo, Message: "entry host started"}
	SettingsRefused = Event{
		Number: 102, Name: "settings_refused", Level: slog.LevelError, Message: "settings refused; nothing was started",
		Remedy: "correct the named keys and start again; agateturnd --check-config checks them",
	}
	Stopping         = Event{Number: 103, Name: "stopping", Level: slog.LevelInfo, Message: "planned stop started; no new requests are accepted"}
	Stopped          = Event{Number: 104, Name: "stopped", Level: slog.LevelInfo, Message: "stopped; every request has finished"}
	StopLimitReached = Event{
		Number: 105, Name: "stop_limit_reached", Level: slog.LevelError, Message: "planned stop reached its limit with requests in progress",
		Remedy: "lengthen stop_limit, or look at the named sessions",
	}
	PauseDetected = Event{
		Number: 106, Name: "pause_detected", Level: slog.LevelWarn, Message: "process was paused for longer than pause_limit; it sends nothing until it has checked its view",
		Remedy: "check for a suspended entry host or CPU starvation",
	}
	Ready   = Event{Number: 107, Name: "ready", Level: slog.LevelInfo, Message: "readiness check passes"}
	Unready = Event{
		Number: 108, Name: "unready", Level: slog.LevelWarn, Message: "readiness check fails",
		Remedy: "see the reason",
	}
	SettingsReloaded = Event{Number: 109, Name: "settings_reloaded", Level: slog.LevelInfo, Message: "changed settings are in force"}
	SettingsKept     = Event{
		Number: 110, Name: "settings_kept", Level: slog.LevelWarn, Message: "name and addresses changed in the settings; the old ones are kept",
		Remedy: "restart the entry host to put them in force",
	}
	LinesLeftOut = Event{
		Number: 111, Name: "lines_left_out", Level: slog.LevelWarn, Message: "log lines were dropped; the counts give the number for each event",
		Remedy: "see the metrics, which count everything; read the log faster if reader_too_slow grows",
	}
	FailedToRun = Event{
		Number: 112, Name: "failed_to_run", Level: slog.LevelError, Message: "process exits with an error",
		Remedy: "see the error; free the address or change the settings, and start again",
	}
	StopHangs = Event{
		Number: 113, Name: "stop_hangs", Level: slog.LevelError, Message: "goroutines still run after a planned stop; the process ends with an error",
		Remedy: "report the stacks of the goroutines",
	}
)

// Store and platform.
var (
	StoreUnreachable = Event{
		Number: 201, Name: "store_unreachable", Level: slog.LevelWarn, Message: "store cannot be reached; requests are still served, but the fleet does not change",
		Remedy: "check the platform's store",
	}
	StoreBack           = Event{Number: 202, Name: "store_back", Level: slog.LevelInfo, Message: "store can be reached again"}
	PlatformUnreachable = Event{
		Number: 203, Name: "platform_unreachable", Level: slog.LevelWarn, Message: "platform's host list cannot be read; the last known list is used",
		Remedy: "check the platform's host API",
	}
	PlatformBack = Event{Number: 204, Name: "platform_back", Level: slog.LevelInfo, Message: "platform's host list can be read again"}
)

// Members and the controller.
var (
	MemberJoined = Event{Number: 301, Name: "member_joined", Level: slog.LevelInfo, Message: "entry host joined"}
	MemberLeft   = Event{Number: 302, Name: "member_left", Level: slog.LevelInfo, Message: "entry host left by a planned stop"}
	MemberGone   = Event{
		Number: 303, Name: "member_gone", Level: slog.LevelWarn, Message: "entry host is proved gone",
		Remedy: "replace it unless the platform already has",
	}
	JoinRefused = Event{
		Number: 304, Name: "join_refused", Level: slog.LevelWarn, Message: "entry host cannot join; it accepts no work",
		Remedy: "see the reason; make the store or a peer reachable",
	}
	JoinedAsGuest = Event{
		Number: 305, Name: "joined_as_guest", Level: slog.LevelWarn, Message: "joined through a peer because the store cannot be reached",
		Remedy: "check the platform's store",
	}
	PeerUnreachable = Event{
		Number: 306, Name: "peer_unreachable", Level: slog.LevelWarn, Message: "peer cannot be reached",
		Remedy: "check the network and the peer",
	}
	PeerBack          = Event{Number: 307, Name: "peer_back", Level: slog.LevelInfo, Message: "peer can be reached again"}
	ControllerElected = Event{Number: 308, Name: "controller_elected", Level: slog.LevelInfo, Message: "this entry host has become the controller"}
	ControllerLost    = Event{Number: 309, Name: "controller_lost", Level: slog.LevelInfo, Message: "this entry host is no longer the controller"}
	FleetApplied      = Event{Number: 310, Name: "fleet_applied", Level: slog.LevelDebug, Message: "fleet revision applied"}
	OwnersSettled     = Event{Number: 311, Name: "owners_settled", Level: slog.LevelInfo, Message: "owner set settled"}
	HeartbeatFailed   = Event{Number: 312, Name: "heartbeat_failed", Level: slog.LevelDebug, Message: "heartbeat to a peer got no usable answer"}
	FleetNotWritten   = Event{
		Number: 313, Name: "fleet_not_written", Level: slog.LevelWarn, Message: "controller cannot write the fleet; it retries",
		Remedy: "check the platform's store",
	}
)

// Configuration.
var (
	ConfigStaged  = Event{Number: 401, Name: "config_staged", Level: slog.LevelInfo, Message: "configuration staged"}
	ConfigInForce = Event{Number: 402, Name: "config_in_force", Level: slog.LevelInfo, Message: "configuration in force"}
	ConfigRefused = Event{
		Number: 403, Name: "config_refused", Level: slog.LevelWarn, Message: "configuration refused",
		Remedy: "correct the named keys and apply again",
	}
	ConfigConflict = Event{
		Number: 404, Name: "config_conflict", Level: slog.LevelWarn, Message: "configuration not applied because another change was applied first",
		Remedy: "read the configuration again and apply the change to it",
	}
	ConfigAbandoned      = Event{Number: 405, Name: "config_abandoned", Level: slog.LevelInfo, Message: "staged configuration dropped; it was not written"}
	ConfigOutcomeUnknown = Event{
		Number: 406, Name: "config_outcome_unknown", Level: slog.LevelWarn, Message: "unknown whether the configuration was written",
		Remedy: "repeat it with the same change_id",
	}
	ConfigUnsettled = Event{
		Number: 407, Name: "config_unsettled", Level: slog.LevelError, Message: "staged configuration was not settled within in_force_bound",
		Remedy: "make the store or the proposer reachable",
	}
	ConfigStale = Event{
		Number: 408, Name: "config_stale", Level: slog.LevelWarn, Message: "older configuration was received and ignored",
		Remedy: "check whether the store was restored from a backup",
	}
	ConfigNotOffered = Event{Number: 409, Name: "config_not_offered", Level: slog.LevelDebug, Message: "configuration could not be sent to a peer"}
)

// Hosts.
var (
	HostDraining      = Event{Number: 501, Name: "host_draining", Level: slog.LevelInfo, Message: "host is draining; it takes no new work"}
	HostReleased      = Event{Number: 502, Name: "host_released", Level: slog.LevelInfo, Message: "host released by this entry host"}
	HostMoved         = Event{Number: 503, Name: "host_moved", Level: slog.LevelInfo, Message: "host moved to another pool"}
	HostInMaintenance = Event{Number: 504, Name: "host_in_maintenance", Level: slog.LevelInfo, Message: "host handed to the platform for maintenance"}
	HostReturned      = Event{Number: 505, Name: "host_returned", Level: slog.LevelInfo, Message: "host returned to service"}
	HostDown          = Event{
		Number: 506, Name: "host_down", Level: slog.LevelWarn, Message: "host is down",
		Remedy: "check the host; the wave or the platform may restore it",
	}
	HostDrainHangs = Event{
		Number: 507, Name: "host_drain_hangs", Level: slog.LevelWarn, Message: "host has not finished draining",
		Remedy: "run agateturnctl status to see what holds it",
	}
	HostEjected = Event{
		Number: 508, Name: "host_ejected", Level: slog.LevelWarn, Message: "host fails different requests and is ejected",
		Remedy: "check the host; it returns after successful probes",
	}
	HostProbedBack = Event{Number: 509, Name: "host_probed_back", Level: slog.LevelInfo, Message: "ejected host passed its probes and takes work again"}
	HostNotInList  = Event{
		Number: 510, Name: "host_not_in_list", Level: slog.LevelWarn, Message: "configured host is missing from the platform's list",
		Remedy: "correct the configuration or the platform's list",
	}
	EjectionCapped = Event{
		Number: 511, Name: "ejection_capped", Level: slog.LevelWarn, Message: "host is not ejected because too many hosts already are",
		Remedy:   "check the pool's hosts; the requests themselves may be at fault",
		Reserved: true,
	}
	HostActionFailed = Event{
		Number: 512, Name: "host_action_failed", Level: slog.LevelWarn, Message: "platform did not accept an action on a host; it is retried",
		Remedy: "check the platform's host API",
	}
)

// Waves.
var (
	WaveStarted       = Event{Number: 601, Name: "wave_started", Level: slog.LevelInfo, Message: "maintenance wave started"}
	WaveStoppedItself = Event{
		Number: 602, Name: "wave_stopped_itself", Level: slog.LevelError, Message: "maintenance wave stopped itself",
		Remedy: "check the failed hosts, then resume or end the wave",
	}
	WaveStopped = Event{Number: 603, Name: "wave_stopped", Level: slog.LevelInfo, Message: "maintenance wave stopped by an operator"}
	WaveResumed = Event{Number: 604, Name: "wave_resumed", Level: slog.LevelInfo, Message: "maintenance wave resumed"}
	WaveDone    = Event{Number: 605, Name: "wave_done", Level: slog.LevelInfo, Message: "maintenance wave completed"}
	WaveWaiting = Event{Number: 606, Name: "wave_waiting", Level: slog.LevelInfo, Message: "maintenance wave is waiting for the availability budget"}

	UpkeepDecided = Event{Number: 607, Name: "upkeep_decided", Level: slog.LevelInfo, Message: "maintenance of a host decided"}
	MoveDecided   = Event{Number: 608, Name: "move_decided", Level: slog.LevelInfo, Message: "move of a host to another pool decided"}
	MachineOrder  = Event{Number: 609, Name: "machine_order", Level: slog.LevelInfo, Message: "result of an order for a host"}
	WaveUnread    = Event{
		Number: 610, Name: "wave_unread", Level: slog.LevelWarn, Message: "waves cannot be read",
		Remedy: "see the error; correct the order of the wave, or check the store",
	}
	BurstBegan = Event{Number: 611, Name: "burst_began", Level: slog.LevelInfo, Message: "burst of demand for a pool has begun; hosts move there"}
	BurstEnded = Event{Number: 612, Name: "burst_ended", Level: slog.LevelInfo, Message: "burst of demand for a pool has ended"}
)

// Requests.
var (
	OutcomeUnknown = Event{
		Number: 701, Name: "outcome_unknown", Level: slog.LevelWarn, Message: "request ended with an unknown outcome",
		Remedy: "the caller may retry with the same key",
	}
	AnswerRefused = Event{
		Number: 702, Name: "answer_refused", Level: slog.LevelError, Message: "upstream's response belongs to another request and was rejected",
		Remedy:   "check the upstream; the connection was closed",
		Reserved: true,
	}
	AnswerCut = Event{
		Number: 703, Name: "answer_cut", Level: slog.LevelWarn, Message: "upstream's response was truncated; the caller sees a broken connection",
		Remedy: "check the upstream",
	}
	QueueFull = Event{
		Number: 704, Name: "queue_full", Level: slog.LevelWarn, Message: "queue is full; requests are refused",
		Remedy: "check the size of the pool, or raise max_queue",
	}
	RequestShed  = Event{Number: 705, Name: "request_shed", Level: slog.LevelDebug, Message: "request was shed because it cannot finish before its deadline"}
	QuotaReached = Event{
		Number: 706, Name: "quota_reached", Level: slog.LevelInfo, Message: "team has reached its quota",
		Remedy:   "raise the team's quota if this is not intended",
		Reserved: true,
	}
	KeysFull = Event{
		Number: 707, Name: "keys_full", Level: slog.LevelWarn, Message: "idempotency key table is full; requests are refused",
		Remedy: "raise max_keys or shorten key_window",
	}
	JobPoisonous = Event{
		Number: 708, Name: "job_poisonous", Level: slog.LevelWarn, Message: "request fails on different hosts and is not retried",
		Remedy: "inform the owner of the request",
	}
)

// Operators.
var (
	OperatorRefused = Event{
		Number: 801, Name: "operator_refused", Level: slog.LevelWarn, Message: "operator's credential refused",
		Remedy: "use the token from the operator settings",
	}
	OperatorOrder = Event{Number: 802, Name: "operator_order", Level: slog.LevelInfo, Message: "operator's order accepted"}
	OrderRepeated = Event{Number: 803, Name: "order_repeated", Level: slog.LevelInfo, Message: "operator's order was already accepted; it is not executed again"}
)

// Jobs.
var (
	PoolGained     = Event{Number: 901, Name: "pool_gained", Level: slog.LevelInfo, Message: "this entry host now owns the pool"}
	PoolLost       = Event{Number: 902, Name: "pool_lost", Level: slog.LevelInfo, Message: "this entry host no longer owns the pool"}
	PoolOwnerEnded = Event{
		Number: 903, Name: "pool_owner_ended", Level: slog.LevelError, Message: "owner of a pool exited with an error",
		Remedy: "see the reason; another entry host takes over the pool when the lease of this one expires",
	}
	PoolsNotHandedOver = Event{
		Number: 904, Name: "pools_not_handed_over", Level: slog.LevelWarn, Message: "pools were not handed over at the planned stop",
		Remedy: "none; other entry hosts take over when the lease of this one expires",
	}
	StoredByPeers = Event{
		Number: 905, Name: "stored_by_peers", Level: slog.LevelWarn, Message: "store does not serve this entry host; peers store its jobs",
		Remedy: "check the network path between this entry host and the store",
	}
	StoredAgain = Event{Number: 906, Name: "stored_again", Level: slog.LevelInfo, Message: "this entry host stores its own jobs again"}

	JobAccepted  = Event{Number: 907, Name: "job_accepted", Level: slog.LevelInfo, Message: "job is stored and accepted"}
	JobRefused   = Event{Number: 908, Name: "job_refused", Level: slog.LevelInfo, Message: "job refused; nothing was stored"}
	JobUndecided = Event{Number: 909, Name: "job_undecided", Level: slog.LevelInfo, Message: "unknown whether the job was stored; the caller retries"}
	CancelStored = Event{Number: 910, Name: "cancel_stored", Level: slog.LevelInfo, Message: "cancellation is stored"}
	CancelFailed = Event{Number: 911, Name: "cancel_failed", Level: slog.LevelInfo, Message: "cancellation refused, or its outcome is unknown"}
	StateUnknown = Event{Number: 912, Name: "state_unknown", Level: slog.LevelInfo, Message: "state of the job is unknown; neither the owner nor the store answered"}

	LeaseGranted   = Event{Number: 913, Name: "lease_granted", Level: slog.LevelInfo, Message: "store granted a lease to this entry host"}
	LeaseLost      = Event{Number: 914, Name: "lease_lost", Level: slog.LevelWarn, Message: "this entry host lost its lease and all its pools", Remedy: "none if other entry hosts take over the pools; check the store if it repeats"}
	PoolHandedOver = Event{Number: 915, Name: "pool_handed_over", Level: slog.LevelInfo, Message: "pool handed over to a peer because the store does not answer this entry host"}
	PoolReplaced   = Event{Number: 916, Name: "pool_replaced", Level: slog.LevelInfo, Message: "a higher fencing token was seen; another entry host owns the pool"}
	RecordsLoaded  = Event{Number: 917, Name: "records_loaded", Level: slog.LevelInfo, Message: "records of the pool are loaded; the owner starts to make decisions"}
	RecordsWait    = Event{
		Number: 918, Name: "records_wait", Level: slog.LevelWarn, Message: "results of runs cannot be written; they are kept and retried while this host owns the pool",
		Remedy: "check the store",
	}
	RecordsWritten = Event{Number: 919, Name: "records_written", Level: slog.LevelInfo, Message: "results of runs are written again"}
	RecordsUnread  = Event{
		Number: 920, Name: "records_unread", Level: slog.LevelWarn, Message: "records of jobs cannot be read or watched",
		Remedy: "check the store",
	}

	WorkersChanged = Event{Number: 921, Name: "workers_changed", Level: slog.LevelInfo, Message: "workers of the pool changed"}
	WorkerEnded    = Event{Number: 922, Name: "worker_ended", Level: slog.LevelInfo, Message: "worker counts as ended, for the reason given"}
	WorkerSilent   = Event{Number: 923, Name: "worker_silent", Level: slog.LevelInfo, Message: "worker does not answer; its runs continue until their lease expires"}
	WorkerBack     = Event{Number: 924, Name: "worker_back", Level: slog.LevelInfo, Message: "worker answers again"}
	WorkerSuspect  = Event{Number: 925, Name: "worker_suspect", Level: slog.LevelInfo, Message: "worker is suspect and avoided for a time"}
	WorkerUnread   = Event{
		Number: 926, Name: "worker_unread", Level: slog.LevelWarn, Message: "registry entry does not describe a usable worker",
		Remedy: "check which program writes that entry",
	}

	TasksStarted  = Event{Number: 927, Name: "tasks_started", Level: slog.LevelInfo, Message: "tasks of a step were ordered to start"}
	TasksStopped  = Event{Number: 928, Name: "tasks_stopped", Level: slog.LevelInfo, Message: "runs were ordered to stop"}
	TasksLost     = Event{Number: 929, Name: "tasks_lost", Level: slog.LevelInfo, Message: "runs were lost; their tasks are placed again"}
	TasksEnded    = Event{Number: 930, Name: "tasks_ended", Level: slog.LevelInfo, Message: "runs have ended"}
	TasksRefused  = Event{Number: 931, Name: "tasks_refused", Level: slog.LevelInfo, Message: "start orders were not executed"}
	OrderUnknown  = Event{Number: 932, Name: "order_unknown", Level: slog.LevelInfo, Message: "order got no answer; it may or may not have been executed"}
	OrderRefused  = Event{Number: 933, Name: "order_refused", Level: slog.LevelInfo, Message: "order was rejected or not sent"}
	JobCompleted  = Event{Number: 934, Name: "job_completed", Level: slog.LevelInfo, Message: "job completed"}
	JobFailed     = Event{Number: 935, Name: "job_failed", Level: slog.LevelInfo, Message: "job failed"}
	JobCancelled  = Event{Number: 936, Name: "job_cancelled", Level: slog.LevelInfo, Message: "job cancelled"}
	JobBegun      = Event{Number: 938, Name: "job_begun", Level: slog.LevelInfo, Message: "first task of the job has started"}
	AttemptFailed = Event{Number: 939, Name: "attempt_failed", Level: slog.LevelInfo, Message: "run failed; it counts as an attempt"}
	JobDurable    = Event{Number: 940, Name: "job_durable", Level: slog.LevelInfo, Message: "result of the job is durable and visible to callers"}
	StepDone      = Event{Number: 941, Name: "step_done", Level: slog.LevelInfo, Message: "all tasks of the step have succeeded"}
	// PoolTakenOver carries the number of workers that the owner waited for, why the wait ended, and its duration.
	PoolTakenOver = Event{Number: 951, Name: "pool_taken_over", Level: slog.LevelInfo, Message: "no task of a previous owner can still run undetected; waiting tasks may start"}
	// TasksPreempted names the step that gains capacity; tasks_stopped names the runs that are stopped for it.
	TasksPreempted = Event{Number: 950, Name: "tasks_preempted", Level: slog.LevelInfo, Message: "runs of a lower-priority queue are preempted for a task of the step"}

	MemberNotStored = Event{Number: 942, Name: "member_not_stored", Level: slog.LevelInfo, Message: "store did not accept the entry of this host; the write is retried unless the host stops"}
	RecordSkipped   = Event{
		Number: 943, Name: "record_skipped", Level: slog.LevelWarn, Message: "record cannot be encoded or decoded; it is skipped",
		Remedy: "check the key in the store and whether other programs write it",
	}
	FleetRecordWaits = Event{Number: 944, Name: "fleet_record_waits", Level: slog.LevelInfo, Message: "progress of waves or moves is not durable yet; the write is retried"}
	MachinesUnread   = Event{
		Number: 945, Name: "machines_unread", Level: slog.LevelWarn, Message: "list of hosts cannot be read; the last known list is used",
		Remedy: "check the platform's hosts",
	}
	MachinesRead      = Event{Number: 946, Name: "machines_read", Level: slog.LevelInfo, Message: "list of hosts can be read again"}
	RegistryUnwatched = Event{
		Number: 952, Name: "registry_unwatched", Level: slog.LevelWarn, Message: "watch of the registry of workers shows no changes; the registry is read instead",
		Remedy: "check the store if it lasts",
	}
	RegistryWatched = Event{Number: 953, Name: "registry_watched", Level: slog.LevelInfo, Message: "watch of the registry of workers shows changes again"}
	CarriersChanged = Event{Number: 954, Name: "carriers_changed", Level: slog.LevelInfo, Message: "number of entry hosts that make the calls to the pool's workers changed"}
	CarrierFailed   = Event{
		Number: 955, Name: "carrier_failed", Level: slog.LevelWarn, Message: "entry host that makes calls to workers for the pool's owner does not answer; others make them",
		Remedy: "check that entry host and the network to it if it repeats",
	}
	WorkerCrashed = Event{Number: 956, Name: "worker_crashed", Level: slog.LevelInfo, Message: "worker ended unexpectedly; the runs on it are lost"}
	TaskCharged   = Event{Number: 957, Name: "task_charged", Level: slog.LevelInfo, Message: "a worker crashed while it may have run the task; a suspected task next starts on its own"}
	TaskGivenUp   = Event{
		Number: 958, Name: "task_given_up", Level: slog.LevelWarn, Message: "task crashes the workers that start it and is given up; its job fails",
		Remedy: "tell the caller of the job; see the payload of the task",
	}
	KeysUnconfirmed = Event{
		Number: 959, Name: "keys_unconfirmed", Level: slog.LevelWarn, Message: "neither the store nor a peer confirms the configuration; submissions and cancellations with API keys are rejected",
		Remedy: "check the platform's store and the network of this entry host",
	}
	KeysConfirmed         = Event{Number: 960, Name: "keys_confirmed", Level: slog.LevelInfo, Message: "configuration is confirmed again; submissions and cancellations with API keys are served"}
	WorkspaceBeyondWeight = Event{
		Number: 961, Name: "workspace_beyond_weight", Level: slog.LevelInfo,
		Message: "workspace submits more jobs a second than its weight; those beyond it yield to the jobs of others",
	}
	WorkspaceWithinWeight = Event{
		Number: 962, Name: "workspace_within_weight", Level: slog.LevelInfo,
		Message: "workspace submits no more jobs beyond its weight; the count is of the jobs that were beyond it",
	}
	WorkspaceLimitRaised  = Event{Number: 970, Name: "workspace_limit_raised", Level: slog.LevelInfo, Message: "workspace may run more in the pool"}
	WorkspaceLimitLowered = Event{Number: 971, Name: "workspace_limit_lowered", Level: slog.LevelInfo, Message: "workspace may run less in the pool; its runs continue"}
	QueueContained        = Event{
		Number: 972, Name: "queue_contained", Level: slog.LevelWarn, Message: "tasks of the queue crash workers; its untried tasks start on few workers",
		Remedy: "see which jobs of the queue fail with task_given_up, and tell their callers",
	}
	QueueContainmentEnded = Event{Number: 973, Name: "queue_containment_ended", Level: slog.LevelInfo, Message: "tasks of the queue crash workers no longer; they start on all workers"}
	// WorkerEndProved names the host and its row. host_listed means that a list has shown the worker there.
	WorkerEndProved = Event{Number: 974, Name: "worker_end_proved", Level: slog.LevelInfo, Message: "list of hosts proves that a worker has ended; the owner of its pool is told"}
	// StartsKept carries the number of starts and how long they are kept at most.
	StartsKept = Event{Number: 975, Name: "starts_kept", Level: slog.LevelInfo, Message: "a later incarnation of an ended worker may still execute unanswered starts; their tasks wait"}
	// WorkerReplaced carries the time since the worker's own last answer.
	WorkerReplaced = Event{Number: 976, Name: "worker_replaced", Level: slog.LevelInfo, Message: "another worker answers at the worker's address"}
	// EndsHidden carries the number of ended runs that the worker has listed, EndsShown why the wait ended and how long it took.
	EndsHidden = Event{
		Number: 977, Name: "ends_hidden", Level: slog.LevelInfo,
		Message: "worker may have more ended runs of an earlier owner than it lists at once; batch tasks wait until it has listed all of them",
	}
	EndsShown = Event{Number: 978, Name: "ends_shown", Level: slog.LevelInfo, Message: "batch tasks wait no longer for the ended runs of the worker"}
	// RunsUnrecorded carries the number of runs and ends that the worker lists.
	RunsUnrecorded = Event{
		Number: 979, Name: "runs_unrecorded", Level: slog.LevelWarn,
		Message: "worker lists runs of an earlier owner of the pool, none of which has recorded it; their tasks may have been started again",
		Remedy:  "keep the logs of the pool's owners and report them",
	}
	// TaskStartedAgain carries the run that has succeeded and the one that was started since.
	TaskStartedAgain = Event{Number: 980, Name: "task_started_again", Level: slog.LevelInfo, Message: "run has succeeded after another run of its task was started"}
	// EndsForgotten carries the incarnation of the worker.
	EndsForgotten = Event{
		Number: 981, Name: "ends_forgotten", Level: slog.LevelWarn,
		Message: "a run is missing on a worker that has not listed an end yet; batch tasks are only started there to be stopped, until it lists one",
		Remedy:  "keep the logs of the pool's owners and report them; a restart of the worker's host under another id ends this",
	}

	SchedulerNote = Event{Number: 937, Name: "scheduler_note", Level: slog.LevelInfo, Message: "another decision of the pool's owner"}
)

// catalogue lists every event in ascending order of numbers.
var catalogue = []Event{
	Started, SettingsRefused, Stopping, Stopped, StopLimitReached, PauseDetected, Ready, Unready,
	SettingsReloaded, SettingsKept, LinesLeftOut, FailedToRun, StopHangs,
	StoreUnreachable, StoreBack, PlatformUnreachable, PlatformBack,
	MemberJoined, MemberLeft, MemberGone, JoinRefused, JoinedAsGuest, PeerUnreachable, PeerBack,
	ControllerElected, ControllerLost, FleetApplied, OwnersSettled, HeartbeatFailed, FleetNotWritten,
	ConfigStaged, ConfigInForce, ConfigRefused, ConfigConflict, ConfigAbandoned, ConfigOutcomeUnknown,
	ConfigUnsettled, ConfigStale, ConfigNotOffered,
	HostDraining, HostReleased, HostMoved, HostInMaintenance, HostReturned, HostDown, HostDrainHangs,
	HostEjected, HostProbedBack, HostNotInList, EjectionCapped, HostActionFailed,
	WaveStarted, WaveStoppedItself, WaveStopped, WaveResumed, WaveDone, WaveWaiting,
	UpkeepDecided, MoveDecided, MachineOrder, WaveUnread, BurstBegan, BurstEnded,
	OutcomeUnknown, AnswerRefused, AnswerCut, QueueFull, RequestShed, QuotaReached, KeysFull,
	JobPoisonous,
	OperatorRefused, OperatorOrder, OrderRepeated,
	PoolGained, PoolLost, PoolOwnerEnded, PoolsNotHandedOver, StoredByPeers, StoredAgain,
	JobAccepted, JobRefused, JobUndecided, CancelStored, CancelFailed, StateUnknown,
	LeaseGranted, LeaseLost, PoolHandedOver, PoolReplaced, RecordsLoaded, RecordsWait, RecordsWritten, RecordsUnread,
	WorkersChanged, WorkerEnded, WorkerSilent, WorkerBack, WorkerSuspect, WorkerUnread,
	TasksStarted, TasksStopped, TasksLost, TasksEnded, TasksRefused, OrderUnknown, OrderRefused,
	JobCompleted, JobFailed, JobCancelled, SchedulerNote, JobBegun, AttemptFailed, JobDurable, StepDone,
	MemberNotStored, RecordSkipped, FleetRecordWaits, MachinesUnread, MachinesRead, TasksPreempted, PoolTakenOver,
	RegistryUnwatched, RegistryWatched, CarriersChanged, CarrierFailed, WorkerCrashed, TaskCharged, TaskGivenUp,
	KeysUnconfirmed, KeysConfirmed, WorkspaceBeyondWeight, WorkspaceWithinWeight, WorkspaceLimitRaised, WorkspaceLimitLowered,
	QueueContained, QueueContainmentEnded, WorkerEndProved, StartsKept, WorkerReplaced, EndsHidden, EndsShown, RunsUnrecorded, TaskStartedAgain, EndsForgotten,
}

// retired lists the numbers of removed events, which are never reused.
var retired = []int{}
