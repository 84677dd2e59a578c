// Package jobkeys names the keys that jobs, members and owners have in the shared store.
//
// Prefixes end in a slash. Pool names are path-escaped, so that one pool's prefix is never the start of another's.
package jobkeys

import (
	"net/url"
	"strings"
)

// Prefixes of the key space.
const (
	// Membership is watched by every entry host.
	Membership = "agateturn/m/"
	members    = Membership + "member/"
	owners     = Membership + "owner/"
	incoming   = "agateturn/in/"
	progress   = "agateturn/progress/"
	rosters    = "agateturn/roster/"
)

const (
	jobPart    = "j/"
	cancelPart = "c/"
)

// Kind is what a key below Membership names.
type Kind int

// Kinds of keys below Membership.
const (
	OtherKey Kind = iota
	MemberKey
	OwnerKey
)

// Member is the key of an entry host.
func Member(name string) string { return members + url.PathEscape(name) }

// Owner is the key of a pool's owner. Its version is the owner's fence.
func Owner(pool string) string { return owners + url.PathEscape(pool) }

// ParseMembership tells what a key below Membership names: a member or a pool.
func ParseMembership(key string) (Kind, string) {
	kind := OtherKey
	rest, ok := strings.CutPrefix(key, members)
	if ok {
		kind = MemberKey
	} else if rest, ok = strings.CutPrefix(key, owners); ok {
		kind = OwnerKey
	}
	name, err := url.PathUnescape(rest)
	if !ok || err != nil || name == "" {
		return OtherKey, ""
	}
	return kind, name
}

// Incoming is the prefix of what callers hand in to a pool: jobs and cancellations. Its owner watches it.
func Incoming(pool string) string { return incoming + url.PathEscape(pool) + "/" }

// Job is the key of an accepted job.
func Job(pool, id string) string { return Incoming(pool) + jobPart + url.PathEscape(id) }

// Cancel is the key of a job's cancellation.
func Cancel(pool, id string) string { return Incoming(pool) + cancelPart + url.PathEscape(id) }

// ParseIncoming tells the id of a key below Incoming(pool), and whether it is a cancellation.
func ParseIncoming(pool, key string) (id string, cancel, ok bool) {
	rest, found := strings.CutPrefix(key, Incoming(pool))
	if !found {
		return "", false, false
	}
	escaped, found := strings.CutPrefix(rest, jobPart)
	if !found {
		escaped, cancel = strings.CutPrefix(rest, cancelPart)
		found = cancel
	}
	id, err := url.PathUnescape(escaped)
	return id, cancel, found && err == nil && id != ""
}

// ProgressOf is the prefix of what the owner recorded about a pool's jobs.
func ProgressOf(pool string) string { return progress + url.PathEscape(pool) + "/" }

// Progress is the key of what the owner recorded about a job.
func Progress(pool, id string) string { return ProgressOf(pool) + url.PathEscape(id) }

// Roster is the key of the workers that may run tasks of a pool.
func Roster(pool string) string { return rosters + url.PathEscape(pool) }
