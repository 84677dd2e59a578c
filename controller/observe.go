package controller

import (
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/mover"
)

// maxHeartbeatAge is the age up to which a heartbeat counts as the present load of its sender.
const maxHeartbeatAge = 5 * time.Second

// Samples sums the demand of each pool over the recent heartbeats of the entry hosts, for mover.Tracker.Observe. The
// run time and the deadline are the longest of the pool's services.
func Samples(now time.Time, cfg *pb.Configuration, heartbeats map[string]fleet.Received) map[string]mover.Sample {
	out := map[string]mover.Sample{}
	slots := poolSlots(cfg)
	for _, p := range cfg.GetPools() {
		out[p.Name] = mover.Sample{HostSlots: slots[p.Name]}
	}
	for _, s := range cfg.GetServices() {
		sample, ok := out[s.Pool]
		if !ok {
			continue
		}
		sample.RunTime = max(sample.RunTime, s.RunTime.AsDuration())
		sample.Deadline = max(sample.Deadline, s.Deadline.AsDuration())
		out[s.Pool] = sample
	}
	for _, r := range heartbeats {
		if now.Sub(r.At) > maxHeartbeatAge {
			continue
		}
		for _, d := range r.Heartbeat.GetDemand() {
			sample, ok := out[d.Pool]
			if !ok {
				continue
			}
			sample.Queued += d.Queued
			sample.Running += d.Running
			sample.Idle += d.Idle
			sample.ArrivalsPerSecond += d.ArrivalsPerSecond
			out[d.Pool] = sample
		}
	}
	return out
}

// poolSlots returns the slots per host by pool: the maximum over the pool's configured hosts.
func poolSlots(cfg *pb.Configuration) map[string]int64 {
	out := map[string]int64{}
	for _, h := range cfg.GetHosts() {
		out[h.Pool] = max(out[h.Pool], h.Slots)
	}
	return out
}

// FailedHosts returns the hosts that are ejected by more than half of the entry hosts that report on them.
func FailedHosts(now time.Time, heartbeats map[string]fleet.Received) map[string]bool {
	reports := map[string]int{}
	ejected := map[string]int{}
	for _, r := range heartbeats {
		if now.Sub(r.At) > maxHeartbeatAge {
			continue
		}
		for _, h := range r.Heartbeat.GetHealth() {
			reports[h.Host]++
			if h.Ejected {
				ejected[h.Host]++
			}
		}
	}
	out := map[string]bool{}
	for host, n := range ejected {
		if 2*n > reports[host] {
			out[host] = true
		}
	}
	return out
}
