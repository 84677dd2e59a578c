package idempotency_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/idempotency"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

const (
	granted  = pb.ClaimVerdict_CLAIM_VERDICT_GRANTED
	running  = pb.ClaimVerdict_CLAIM_VERDICT_RUNNING
	unknown  = pb.ClaimVerdict_CLAIM_VERDICT_UNKNOWN
	isDone   = pb.ClaimVerdict_CLAIM_VERDICT_DONE
	full     = pb.ClaimVerdict_CLAIM_VERDICT_FULL
	mismatch = pb.ClaimVerdict_CLAIM_VERDICT_MISMATCH
	notOwner = pb.ClaimVerdict_CLAIM_VERDICT_NOT_OWNER
)

// bench drives one owner, e1.1, that shares the keys with e2.
type bench struct {
	t     *testing.T
	now   time.Time
	fleet *pb.Fleet
	owner *idempotency.Owner
}

func owners(all ...string) *pb.OwnerSet {
	set := &pb.OwnerSet{}
	for _, name := range all {
		set.Owners = append(set.Owners, &pb.Owner{Name: name, Incarnation: "1"})
	}
	return set
}

// newBench returns a bench whose owner is among the first owners of the fleet.
func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: time.Unix(1_800_000_000, 0), fleet: &pb.Fleet{
		Owners:  owners("e1"),
		Members: []*pb.Member{{Name: "e1", Incarnation: "1"}, {Name: "e2", Incarnation: "1"}},
	}}
	b.owner = idempotency.NewOwner(b.fleet.GetOwners().GetOwners()[0], limits, ownerOf)
	b.set(func(*pb.Fleet) {})
	return b
}

func (b *bench) set(change func(f *pb.Fleet)) {
	b.fleet = proto.CloneOf(b.fleet)
	b.fleet.Revision++
	change(b.fleet)
	b.owner.SetFleet(b.now, b.fleet)
}

// move changes the owners through the barrier.
func (b *bench) move(next *pb.OwnerSet) {
	b.set(func(f *pb.Fleet) { f.NextOwners = next })
	b.set(func(f *pb.Fleet) { f.PreviousOwners, f.Owners, f.NextOwners = f.GetOwners(), next, nil })
}

func (b *bench) claim(key, attempt string, want pb.ClaimVerdict) {
	b.t.Helper()
	response := b.owner.Claim(b.now, &pb.ClaimRequest{
		Service: "s", Key: key, Attempt: attempt, Member: "e2", Incarnation: "1", Digest: []byte(key[:1]),
	})
	assert.Equal(b.t, response.GetVerdict(), want)
}

func (b *bench) finish(key, attempt string, kind pb.OutcomeKind) {
	b.owner.Finish(b.now, &pb.FinishRequest{Service: "s", Key: key, Attempt: attempt, Outcome: &pb.Outcome{Kind: kind}})
}

func (b *bench) timedKey(offset time.Duration) string {
	w := &world{now: b.now.Add(offset), choose: func(n int) int { return n / 2 }}
	return w.newTimedKey(0)
}

func TestOutcomesAreRemembered(t *testing.T) {
	b := newBench(t)
	b.claim("k", "1", granted)
	b.claim("k", "1", granted) // its answer was lost
	b.claim("k", "2", running)
	b.finish("k", "2", pb.OutcomeKind_OUTCOME_KIND_NOT_RUN) // not the attempt that runs
	b.claim("k", "2", running)
	b.finish("k", "1", pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
	b.claim("k", "1", isDone)
	b.claim("k", "2", granted)
	b.finish("k", "2", pb.OutcomeKind_OUTCOME_KIND_UNKNOWN)
	b.claim("k", "3", unknown)
	b.finish("k", "2", pb.OutcomeKind_OUTCOME_KIND_DONE) // the truth comes late
	b.claim("k", "3", isDone)
	b.finish("k", "2", pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
	b.claim("k", "3", isDone)
}

func TestDifferentRequestUnderTheSameKey(t *testing.T) {
	b := newBench(t)
	b.claim("k", "1", granted)
	response := b.owner.Claim(b.now, &pb.ClaimRequest{Service: "s", Key: "k", Attempt: "1", Digest: []byte("x")})
	assert.Equal(t, response.GetVerdict(), mismatch)
}

func TestFullMemoryForgetsNothing(t *testing.T) {
	b := newBench(t)
	for i := range limits.MaxKeys {
		key := string(rune('a' + i))
		b.claim(key, "1", granted)
		b.finish(key, "1", pb.OutcomeKind_OUTCOME_KIND_DONE)
	}
	b.claim("Z", "1", full)
	b.claim("a", "2", isDone)
	b.now = b.now.Add(limits.Window)
	b.claim("Z", "1", full)
	b.now = b.now.Add(limits.MaxDelay + limits.ClockSkew + 1)
	b.claim("Z", "1", granted)
	assert.Equal(t, b.owner.Len(), 1)
}

func TestGoneClaimerLeavesUnknown(t *testing.T) {
	b := newBench(t)
	b.claim("k", "1", granted)
	b.set(func(f *pb.Fleet) {
		f.Members = []*pb.Member{{Name: "e1", Incarnation: "1"}, {Name: "e2", Incarnation: "2"}}
	})
	b.claim("k", "2", notOwner) // from the old incarnation
	response := b.owner.Claim(b.now, &pb.ClaimRequest{
		Service: "s", Key: "k", Attempt: "2", Member: "e2", Incarnation: "2", Digest: []byte("k"),
	})
	assert.Equal(t, response.GetVerdict(), unknown)
}

func TestTimedKeysOutsideTheWindow(t *testing.T) {
	b := newBench(t)
	b.claim(b.timedKey(limits.ClockSkew+time.Millisecond), "1", unknown)
	b.claim(b.timedKey(-limits.Window-time.Millisecond), "1", unknown)
	b.claim(b.timedKey(limits.ClockSkew), "1", granted)
}

// TestRegainedKey has the keys go to e2 and come back.
func TestRegainedKey(t *testing.T) {
	b := newBench(t)
	b.claim("k", "1", granted)
	b.finish("k", "1", pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
	b.move(owners("e2"))
	b.claim("k", "2", notOwner)
	b.now = b.now.Add(time.Second)
	b.move(owners("e1"))
	b.claim("k", "2", unknown) // e2 may have granted it
	b.claim("other", "1", unknown)
	b.claim(b.timedKey(2*limits.ClockSkew), "1", unknown)
	b.now = b.now.Add(2*limits.ClockSkew + time.Millisecond)
	b.claim(b.timedKey(0), "1", granted) // made after the return
	b.now = b.now.Add(limits.Window + limits.MaxDelay)
	b.claim("other", "2", granted)
}

// TestMissedChangeLosesEverything has a process that was counted as gone and never saw the barrier.
func TestMissedChangeLosesEverything(t *testing.T) {
	b := newBench(t)
	b.set(func(f *pb.Fleet) { f.PreviousOwners = owners("e2") })
	b.claim("k", "1", unknown)
}

func TestClosedWhileChangingHands(t *testing.T) {
	b := newBench(t)
	b.set(func(f *pb.Fleet) { f.NextOwners = owners("e2") })
	b.claim("k", "1", notOwner)
	b.set(func(f *pb.Fleet) { f.NextOwners = owners("e1") })
	b.claim("k", "1", granted)
}
