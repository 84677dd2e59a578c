// Package jobkeys builds and parses the keys of jobs, members and owners in the shared store.
//
// Prefixes end in a slash. Pool names are path-escaped, so that the prefix of one pool is never a prefix of another's.
package jobkeys

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"
	"strings"
)

// Prefixes of the key space.
const (
	// MembershipPrefix is the prefix of the member and owner keys, which every entry host watches.
	MembershipPrefix = "agateturn/m/"
	memberPrefix     = MembershipPrefix + "member/"
	ownerPrefix      = MembershipPrefix + "owner/"
	incomingPrefix   = "agateturn/in/"
	progressPrefix   = "agateturn/progress/"
	rosterPrefix     = "agateturn/roster/"
	locationPrefix   = "agateturn/at/"
)

// addressBytes is the length of the hash of which an address consists.
const addressBytes = 16

const (
	jobSegment    = "j/"
	cancelSegment = "c/"
)

// Kind is the kind of a key below MembershipPrefix.
type Kind int

// Kinds of keys below MembershipPrefix.
const (
	OtherKey Kind = iota
	MemberKey
	OwnerKey
)

// Member returns the key of an entry host.
func Member(name string) string { return memberPrefix + url.PathEscape(name) }

// Owner returns the key of a pool's owner. Its version in the store is the owner's fence.
func Owner(pool string) string { return ownerPrefix + url.PathEscape(pool) }

// ParseMembership returns the kind of a key below MembershipPrefix, and the name of its member or pool. It returns
// OtherKey and an empty name for any other key.
func ParseMembership(key string) (Kind, string) {
	kind := OtherKey
	rest, ok := strings.CutPrefix(key, memberPrefix)
	if ok {
		kind = MemberKey
	} else if rest, ok = strings.CutPrefix(key, ownerPrefix); ok {
		kind = OwnerKey
	}
	name, err := url.PathUnescape(rest)
	if !ok || err != nil || name == "" {
		return OtherKey, ""
	}
	return kind, name
}

// IncomingPrefix returns the key prefix of the jobs and cancellations submitted to a pool, which the pool's owner watches.
func IncomingPrefix(pool string) string { return incomingPrefix + url.PathEscape(pool) + "/" }

// Job returns the key of an accepted job.
func Job(pool, id string) string { return IncomingPrefix(pool) + jobSegment + url.PathEscape(id) }

// Cancel returns the key of a job's cancellation.
func Cancel(pool, id string) string { return IncomingPrefix(pool) + cancelSegment + url.PathEscape(id) }

// ParseIncoming returns the job id of a key below IncomingPrefix(pool), and whether it is the key of a cancellation. It
// reports false for any other key.
func ParseIncoming(pool, key string) (id string, cancel, ok bool) {
	rest, found := strings.CutPrefix(key, IncomingPrefix(pool))
	if !found {
		return "", false, false
	}
	escaped, found := strings.CutPrefix(rest, jobSegment)
	if !found {
		escaped, cancel = strings.CutPrefix(rest, cancelSegment)
		found = cancel
	}
	id, err := url.PathUnescape(escaped)
	return id, cancel, found && err == nil && id != ""
}

// ProgressPrefix returns the key prefix of the progress records of a pool's jobs.
func ProgressPrefix(pool string) string { return progressPrefix + url.PathEscape(pool) + "/" }

// Progress returns the key of a job's progress record, which the pool's owner writes.
func Progress(pool, id string) string { return ProgressPrefix(pool) + url.PathEscape(id) }

// Roster returns the key of the record of the workers that may run tasks of a pool.
func Roster(pool string) string { return rosterPrefix + url.PathEscape(pool) }

// Address returns the address of the job with a host and path: a hash, since keys are short and callers choose the path.
func Address(host, path string) string {
	sum := sha256.Sum256([]byte(host + "\n" + path))
	return hex.EncodeToString(sum[:addressBytes])
}

// Location returns the key of the location of the job at an address.
func Location(address string) string { return locationPrefix + address }
