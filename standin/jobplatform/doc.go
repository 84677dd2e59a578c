// Package jobplatform simulates a platform that runs jobs: its store, its machines and their workers, and its operator.
//
// Everything runs in one process, on loopback addresses and the real clock; package platform is the client. A History
// records each start and end of a task and reports which guarantees were violated. Policies, recurring jobs and shared load
// are not simulated.
package jobplatform
