// Package proofs holds the tests that need real processes: entry hosts that are killed, frozen, replaced and stopped
// while callers ask and the platform fails. The platform, the workers and the callers are the stand-ins, run inside the
// test; each entry host is a process of its own. The workers' records are the judge.
//
// docs/PROOFS.md lists what each test shows and what none shows.
package proofs
