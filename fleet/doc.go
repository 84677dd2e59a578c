// Package fleet implements the rules of the fleet value: which entry hosts are members, which pool each host belongs
// to, and who owns slots and idempotency keys.
//
// A host, a slot or a key changes its holder in two writes. The first write announces the change. Each member applies
// it and reports the applied revision and the hosts on which it still has requests in flight. Only when every member
// has released is the second write made, which installs the new holder. The passage of time alone never releases
// anything. Guests, processes that a member has accepted before they are registered, must release like members.
//
// The functions are pure: they never modify their input, and they return the input itself if nothing changes. A Draft
// collects several changes for one write. Only Gate is safe for concurrent use.
package fleet
