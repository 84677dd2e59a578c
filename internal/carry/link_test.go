package carry

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Guards against two runs of a task: a start that its caller had given up as not sent was handed to the carrier.
func TestCallGivenUpAsNotSentIsNotSubmitted(t *testing.T) {
	for i := range 20_000 {
		l := &link{ctx: t.Context(), queue: make(chan *pb.CarriedCall, 1), waiting: map[uint64]*waitingCall{}}
		ctx, cancel := context.WithCancel(t.Context())
		answered := make(chan bool)
		go func() {
			_, sent := l.call(ctx, &pb.CarriedCall{Kind: pb.CarriedKind_CARRIED_KIND_START})
			answered <- sent
		}()
		call := <-l.queue
		cancel()
		for range i % 64 { // the moment varies at which the call is submitted
			l.isIdle()
		}
		submitted := len(l.markSubmitted([]*pb.CarriedCall{call})) == 1
		assert.Equal(t, <-answered, submitted, "call %d", i)
	}
}
