package jobstate

import pb "github.com/agateturn/agateturn/gen/agateturn/v1"

// Requester is who asks about a job or cancels it: a workspace, a caller without one, or an operator.
type Requester struct {
	// Workspace is empty for a caller without a workspace.
	Workspace string
	Operator  bool
}

// Canceller returns the requester of a cancellation.
func Canceller(c *pb.JobCancel) Requester {
	return Requester{Workspace: c.GetWorkspace(), Operator: c.GetByOperator()}
}

// MayAccess reports whether the requester sees and may cancel the jobs of a workspace.
func (r Requester) MayAccess(workspace string) bool { return r.Operator || r.Workspace == workspace }
