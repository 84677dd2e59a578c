package scheduler

// Decision explains one decision for the log: what was decided, about what, and why.
type Decision struct {
	// Kind is a short constant name such as "start", "stop", "lost", "failed".
	Kind   string
	Task   TaskID
	Worker string
	Run    int64
	Reason string
}
