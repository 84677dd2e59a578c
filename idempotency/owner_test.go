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

// harness drives the Owner of e1, incarnation 1, in a fleet with e2.
type harness struct {
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

// newHarness returns a harness whose owner is the only one of the fleet's first owners.
func newHarness(t *testing.T) *harness {
	h := &harness{t: t, now: time.Unix(1_800_000_000, 0), fleet: &pb.Fleet{
		Owners:  owners("e1"),
		Members: []*pb.Member{{Name: "e1", Incarnation: "1"}, {Name: "e2", Incarnation: "1"}},
	}}
	h.owner = idempotency.NewOwner(h.fleet.GetOwners().GetOwners()[0], limits, ownerOf)
	h.set(func(*pb.Fleet) {})
	return h
}

func (h *harness) set(change func(f *pb.Fleet)) {
	h.fleet = proto.CloneOf(h.fleet)
	h.fleet.Revision++
	change(h.fleet)
	h.owner.SetFleet(h.now, h.fleet)
}

// move changes the owners in the two steps of the barrier.
func (h *harness) move(next *pb.OwnerSet) {
	h.set(func(f *pb.Fleet) { f.NextOwners = next })
	h.set(func(f *pb.Fleet) { f.PreviousOwners, f.Owners, f.NextOwners = f.GetOwners(), next, nil })
}

func (h *harness) claim(key, attempt string, want pb.ClaimVerdict) {
	h.t.Helper()
	response := h.owner.Claim(h.now, &pb.ClaimRequest{
		Service: "s", Key: key, Attempt: attempt, Member: "e2", Incarnation: "1", Digest: []byte(key[:1]),
	})
	assert.Equal(h.t, response.GetVerdict(), want)
}

func (h *harness) finish(key, attempt string, kind pb.OutcomeKind) {
	h.owner.Finish(h.now, &pb.FinishRequest{Service: "s", Key: key, Attempt: attempt, Outcome: &pb.Outcome{Kind: kind}})
}

func (h *harness) timedKey(offset time.Duration) string {
	s := &simulation{now: h.now.Add(offset), choose: func(n int) int { return n / 2 }}
	return s.newTimedKey(0)
}

func TestOutcomesAreRemembered(t *testing.T) {
	h := newHarness(t)
	h.claim("k", "1", granted)
	h.claim("k", "1", granted) // its answer was lost
	h.claim("k", "2", running)
	h.finish("k", "2", pb.OutcomeKind_OUTCOME_KIND_NOT_RUN) // not the attempt that runs
	h.claim("k", "2", running)
	h.finish("k", "1", pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
	h.claim("k", "1", isDone)
	h.claim("k", "2", granted)
	h.finish("k", "2", pb.OutcomeKind_OUTCOME_KIND_UNKNOWN)
	h.claim("k", "3", unknown)
	h.finish("k", "2", pb.OutcomeKind_OUTCOME_KIND_DONE) // late report of the actual outcome
	h.claim("k", "3", isDone)
	h.finish("k", "2", pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
	h.claim("k", "3", isDone)
}

func TestDifferentRequestUnderTheSameKey(t *testing.T) {
	h := newHarness(t)
	h.claim("k", "1", granted)
	response := h.owner.Claim(h.now, &pb.ClaimRequest{Service: "s", Key: "k", Attempt: "1", Digest: []byte("x")})
	assert.Equal(t, response.GetVerdict(), mismatch)
}

func TestKeysAreNotEvictedWhenFull(t *testing.T) {
	h := newHarness(t)
	for i := range limits.MaxKeys {
		key := string(rune('a' + i))
		h.claim(key, "1", granted)
		h.finish(key, "1", pb.OutcomeKind_OUTCOME_KIND_DONE)
	}
	h.claim("Z", "1", full)
	h.claim("a", "2", isDone)
	h.now = h.now.Add(limits.Window)
	h.claim("Z", "1", full)
	h.now = h.now.Add(limits.MaxDelay + limits.ClockSkew + 1)
	h.claim("Z", "1", granted)
	assert.Equal(t, h.owner.Len(), 1)
}

func TestGoneClaimerMeansUnknown(t *testing.T) {
	h := newHarness(t)
	h.claim("k", "1", granted)
	h.set(func(f *pb.Fleet) {
		f.Members = []*pb.Member{{Name: "e1", Incarnation: "1"}, {Name: "e2", Incarnation: "2"}}
	})
	h.claim("k", "2", notOwner) // from the old incarnation
	response := h.owner.Claim(h.now, &pb.ClaimRequest{
		Service: "s", Key: "k", Attempt: "2", Member: "e2", Incarnation: "2", Digest: []byte("k"),
	})
	assert.Equal(t, response.GetVerdict(), unknown)
}

func TestTimedKeysOutsideTheWindow(t *testing.T) {
	h := newHarness(t)
	h.claim(h.timedKey(limits.ClockSkew+time.Millisecond), "1", unknown)
	h.claim(h.timedKey(-limits.Window-time.Millisecond), "1", unknown)
	h.claim(h.timedKey(limits.ClockSkew), "1", granted)
}

// TestRegainedKey moves the keys to e2 and back. Keys that e2 may have granted must not be granted again.
func TestRegainedKey(t *testing.T) {
	h := newHarness(t)
	h.claim("k", "1", granted)
	h.finish("k", "1", pb.OutcomeKind_OUTCOME_KIND_NOT_RUN)
	h.move(owners("e2"))
	h.claim("k", "2", notOwner)
	h.now = h.now.Add(time.Second)
	h.move(owners("e1"))
	h.claim("k", "2", unknown) // e2 may have granted it
	h.claim("other", "1", unknown)
	h.claim(h.timedKey(2*limits.ClockSkew), "1", unknown)
	h.now = h.now.Add(2*limits.ClockSkew + time.Millisecond)
	h.claim(h.timedKey(0), "1", granted) // created after the keys came back
	h.now = h.now.Add(limits.Window + limits.MaxDelay)
	h.claim("other", "2", granted)
}

// TestMissedChangeDiscardsHistory applies a fleet whose previous owners the process never saw, as happens to a process
// that was considered gone. Keys that those owners may have granted must not be granted again.
func TestMissedChangeDiscardsHistory(t *testing.T) {
	h := newHarness(t)
	h.set(func(f *pb.Fleet) { f.PreviousOwners = owners("e2") })
	h.claim("k", "1", unknown)
}

func TestClosedDuringOwnerChange(t *testing.T) {
	h := newHarness(t)
	h.set(func(f *pb.Fleet) { f.NextOwners = owners("e2") })
	h.claim("k", "1", notOwner)
	h.set(func(f *pb.Fleet) { f.NextOwners = owners("e1") })
	h.claim("k", "1", granted)
}
