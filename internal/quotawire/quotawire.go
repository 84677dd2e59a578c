// Package quotawire converts the types of package quota to messages and back.
package quotawire

import (
	"time"

	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/quota"
)

func encode(r quota.Resources) *pb.WorkspaceResources {
	return &pb.WorkspaceResources{CpuMilli: r.CPUMilli, MemoryMb: r.MemoryMB, Gpu: r.GPU}
}

// encodeUse returns nil for nothing, which takes no bytes.
func encodeUse(r quota.Resources) *pb.WorkspaceResources {
	if r == (quota.Resources{}) {
		return nil
	}
	return encode(r)
}

func decode(r *pb.WorkspaceResources) quota.Resources {
	return quota.Resources{CPUMilli: r.GetCpuMilli(), MemoryMB: r.GetMemoryMb(), GPU: r.GetGpu()}
}

// EncodeGrants returns the messages of grants.
func EncodeGrants(grants []quota.Grant) []*pb.WorkspaceGrant {
	return lo.Map(grants, func(g quota.Grant, _ int) *pb.WorkspaceGrant {
		return &pb.WorkspaceGrant{Workspace: g.Workspace, Limit: encode(g.Limit)}
	})
}

// DecodeGrants returns the grants of messages.
func DecodeGrants(grants []*pb.WorkspaceGrant) []quota.Grant {
	return lo.Map(grants, func(g *pb.WorkspaceGrant, _ int) quota.Grant {
		return quota.Grant{Workspace: g.GetWorkspace(), Limit: decode(g.GetLimit())}
	})
}

// EncodeUsage returns the messages of what a pool reports.
func EncodeUsage(usage []quota.Usage) []*pb.WorkspaceUsage {
	return lo.Map(usage, func(u quota.Usage, _ int) *pb.WorkspaceUsage {
		m := &pb.WorkspaceUsage{
			Workspace: u.Workspace, Used: encodeUse(u.Used), Waiting: encodeUse(u.Waiting), Next: encodeUse(u.Next),
			WaitedMs: u.WaitedFor.Milliseconds(),
		}
		if u.HasLimit {
			m.Limit = encode(u.Limit)
		}
		return m
	})
}

// DecodeUsage returns what a pool reports.
func DecodeUsage(usage []*pb.WorkspaceUsage) []quota.Usage {
	return lo.Map(usage, func(u *pb.WorkspaceUsage, _ int) quota.Usage {
		return quota.Usage{
			Workspace: u.GetWorkspace(), HasLimit: u.GetLimit() != nil, Limit: decode(u.GetLimit()), Used: decode(u.GetUsed()),
			Waiting: decode(u.GetWaiting()), Next: decode(u.GetNext()), WaitedFor: time.Duration(u.GetWaitedMs()) * time.Millisecond,
		}
	})
}
