// Package proofs holds the tests that need real processes: entry hosts that are killed, paused, replaced and stopped while
// callers send requests and the platform fails. The platform, the workers and the callers are stand-ins inside the test;
// each entry host is a separate process. The tests check the workers' records.
//
// docs/PROOFS.md lists what each test shows, and what no test shows.
package proofs
