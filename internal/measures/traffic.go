package measures

import (
	"context"
	"runtime/metrics"
	"time"

	"github.com/agateturn/agateturn/internal/meterconn"
	"github.com/agateturn/agateturn/stats"
	"github.com/agateturn/agateturn/wait"
)

// Kinds of the daemon's control connections.
const (
	TrafficPeers    = "peers"
	TrafficStore    = "store"
	TrafficPlatform = "platform"
)

// heapPeriod is the sampling period of the live heap.
const heapPeriod = 5 * time.Second

// TrafficMeter counts the bytes of control connections of one kind under agateturn_control_bytes.
func TrafficMeter(s *stats.Stats, kind string) meterconn.Meter {
	with := stats.Label{Name: "with", Value: kind}
	return meterconn.Meter{
		Sent:     s.Counter("agateturn_control_bytes", with, stats.Label{Name: "direction", Value: "sent"}),
		Received: s.Counter("agateturn_control_bytes", with, stats.Label{Name: "direction", Value: "received"}),
	}
}

// WatchHeap keeps the gauge of the live heap current until ctx ends.
func WatchHeap(ctx context.Context, s *stats.Stats) {
	heap := s.Gauge("agateturn_heap_live_bytes")
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	for {
		metrics.Read(sample)
		heap.Update(float64(sample[0].Value.Uint64()))
		if wait.For(ctx, heapPeriod) != nil {
			return
		}
	}
}
