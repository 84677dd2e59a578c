package jobpeer

import (
	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// repeatUnlessEmpty returns the workspace n times; nil if it is empty.
func repeatUnlessEmpty(workspace string, n int) []string {
	if workspace == "" {
		return nil
	}
	return lo.RepeatBy(n, func(int) string { return workspace })
}

// splitCancellations returns the ids of the jobs that were cancelled by callers without a workspace, which is all that hosts
// need that know no workspaces, and the other cancellations.
func splitCancellations(all []*pb.JobCancel) (ids []string, others []*pb.JobCancel) {
	for _, c := range all {
		if c.GetWorkspace() == "" && !c.GetByOperator() {
			ids = append(ids, c.GetId())
		} else {
			others = append(others, c)
		}
	}
	return ids, others
}

func cancellationsOf(req *pb.OfferJobsRequest) []*pb.JobCancel {
	all := lo.Map(req.GetCancelled(), func(id string, _ int) *pb.JobCancel { return &pb.JobCancel{Id: id} })
	return append(all, req.GetCancellations()...)
}
