// Package rendezvous assigns keys to owners by rendezvous (highest random weight) hashing.
//
// Every process computes the same owner from the same key and set, without communication. When an owner leaves, only
// its keys get other owners; when one joins, it takes an equal share of the keys of every other owner. The weight
// depends on the owner's name and not on its incarnation, so a restarted owner gets its keys back.
package rendezvous

import (
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Constants of the 64-bit FNV-1a hash and of the SplitMix64 finaliser.
const (
	fnvOffset  uint64 = 14695981039346656037
	fnvPrime   uint64 = 1099511628211
	goldenStep uint64 = 0x9e3779b97f4a7c15
	mixFirst   uint64 = 0xbf58476d1ce4e5b9
	mixSecond  uint64 = 0x94d049bb133111eb
)

// Owner returns the member of set with the highest weight for key, and false if the set is nil or empty. The result is
// the same in every process and doesn't depend on the order of the set. It is safe for concurrent use as long as set is
// not modified.
func Owner(key string, set *pb.OwnerSet) (*pb.Owner, bool) {
	keyHash := Hash(key)
	var best *pb.Owner
	var bestWeight uint64
	for _, o := range set.GetOwners() {
		w := Weight(keyHash, o.GetName())
		if best == nil || w > bestWeight || (w == bestWeight && o.GetName() < best.GetName()) {
			best = o
			bestWeight = w
		}
	}
	return best, best != nil
}

// Weight returns the weight of an owner for a key whose Hash is keyHash.
func Weight(keyHash uint64, owner string) uint64 { return mix(keyHash ^ mix(Hash(owner))) }

// Hash returns a 64-bit hash of s that is the same in every process and must not change between releases.
func Hash(s string) uint64 {
	h := fnvOffset
	for i := range len(s) {
		h ^= uint64(s[i])
		h *= fnvPrime
	}
	return mix(h)
}

// mix is the SplitMix64 finaliser, which makes every output bit depend on every input bit.
func mix(x uint64) uint64 {
	x += goldenStep
	x ^= x >> 30
	x *= mixFirst
	x ^= x >> 27
	x *= mixSecond
	x ^= x >> 31
	return x
}
