package rendezvous_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/rendezvous"
)

func set(names ...string) *pb.OwnerSet {
	s := &pb.OwnerSet{}
	for _, n := range names {
		s.Owners = append(s.Owners, &pb.Owner{Name: n, Incarnation: "1"})
	}
	return s
}

var nine = []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"}

func ExampleOwner() {
	owner, ok := rendezvous.Owner("palermo-01/3", set("e1", "e2", "e3"))
	again, _ := rendezvous.Owner("palermo-01/3", set("e3", "e2", "e1"))
	fmt.Println(ok, owner.GetName() == again.GetName())
	// Output: true true
}

func TestEmptySetHasNoOwner(t *testing.T) {
	_, ok := rendezvous.Owner("k", nil)
	assert.Assert(t, !ok)
}

// TestHashIsStable pins the hash, on which members of different releases must agree.
func TestHashIsStable(t *testing.T) {
	assert.Equal(t, rendezvous.Hash("agateturn"), rendezvous.Hash("agate"+"turn"))
	owner, _ := rendezvous.Owner("h00/0", set(nine...))
	assert.Equal(t, owner.GetName(), pinnedOwner)
}

func TestBalance(t *testing.T) {
	const keys = 9000
	counts := map[string]int{}
	for i := range keys {
		o, _ := rendezvous.Owner(fmt.Sprintf("h%02d/%d", i/8, i%8), set(nine...))
		counts[o.GetName()]++
	}
	for _, n := range nine {
		assert.Assert(t, counts[n] > 850 && counts[n] < 1150, "%s owns %d of %d", n, counts[n], keys)
	}
}

// TestMinimalDisruption checks that only the keys of an owner that leaves get another owner.
func TestMinimalDisruption(t *testing.T) {
	for i := range 2000 {
		key := fmt.Sprintf("h%02d/%d", i/8, i%8)
		before, _ := rendezvous.Owner(key, set(nine...))
		after, _ := rendezvous.Owner(key, set(nine[:8]...))
		if before.GetName() != "e9" {
			assert.Equal(t, before.GetName(), after.GetName(), key)
		}
	}
}

func TestIncarnationDoesNotAffectOwner(t *testing.T) {
	restarted := set(nine...)
	restarted.Owners[4].Incarnation = "2"
	for i := range 200 {
		key := fmt.Sprint(i)
		a, _ := rendezvous.Owner(key, set(nine...))
		b, _ := rendezvous.Owner(key, restarted)
		assert.Equal(t, a.GetName(), b.GetName())
	}
}

const pinnedOwner = "e5"
