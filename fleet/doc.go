// Package fleet implements the rules of the fleet value: which entry hosts are members, which pool each host belongs
// to, and who owns slots and idempotency keys.
//
// A change that takes something away is written first. Each member applies it and reports the applied revision and what
// it still holds. Only when every member has released is the change written that assigns it to a new holder. The
// passage of time alone never releases anything.
//
// The functions are pure: they never modify their input, and they return the input itself if nothing changes. A Draft
// collects several changes for one write. Only Gate is safe for concurrent use.
package fleet
