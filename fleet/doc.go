// Package fleet holds the rules of the fleet value: which entry hosts are members, which pool each host belongs to, and
// who owns slots and idempotency keys.
//
// A change that takes something away is written first. Each member applies it and reports the revision that it applied
// and what it still holds; only when every member has released is the change written that gives the thing to somebody
// else. Time alone never releases anything.
//
// The functions are pure: they never change their input, and they return the input itself where nothing changes. A
// Draft collects many changes for one write. Only Gate is safe for concurrent use.
package fleet
