// Package jobplatform plays a platform that runs jobs: its store, its machines and their workers, and its operator.
//
// All of it runs in one process, on loopback addresses and the real clock; package platform speaks to it. A History
// notes each start and end of a task and tells which promises were broken. Policies, repeated jobs and shared load are
// not played.
package jobplatform
