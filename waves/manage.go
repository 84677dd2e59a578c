package waves

import (
	"slices"
	"sort"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

// maxDoneWaves is the number of finished waves that the fleet keeps.
const maxDoneWaves = 20

// Create starts a wave over hosts. It returns f unchanged if the wave exists under the same operation id.
func Create(f *pb.Fleet, name string, hosts []string, operationID string, now time.Time) (*pb.Fleet, error) {
	if w := findWave(f, name); w != nil {
		if operationID != "" && w.OperationId == operationID {
			return f, nil
		}
		return nil, WaveExists.New("%q was created by order %q; choose another name", name, w.OperationId)
	}
	if len(hosts) == 0 {
		return nil, EmptyWave.New("%q has no hosts; name at least one", name)
	}
	if err := checkHosts(f, hosts); err != nil {
		return nil, err
	}
	pending := slices.Compact(slices.Sorted(slices.Values(hosts)))
	next := proto.CloneOf(f)
	next.Waves = append(next.Waves, &pb.Wave{
		Name: name, Phase: pb.WavePhase_WAVE_PHASE_RUNNING, Pending: pending,
		StartedUnixMs: now.UnixMilli(), OperationId: operationID,
	})
	pruneDoneWaves(next)
	return next, nil
}

// Resume continues a stopped wave. Its failed hosts are retried before any host that is in service. A running wave
// stays unchanged. A repeated order that arrives after the wave has stopped again resumes it again.
func Resume(f *pb.Fleet, name string) (*pb.Fleet, error) {
	return editWave(f, name, func(w *pb.Wave) bool {
		if w.Phase == pb.WavePhase_WAVE_PHASE_RUNNING {
			return false
		}
		w.Phase = pb.WavePhase_WAVE_PHASE_RUNNING
		w.Reason = ""
		w.Pending = append(w.Pending, w.Failed...)
		w.Failed = nil
		sort.Strings(w.Pending)
		return true
	})
}

// Stop prevents a wave from starting further hosts until it is resumed. Hosts in progress finish. A stopped wave stays
// unchanged.
func Stop(f *pb.Fleet, name, reason string) (*pb.Fleet, error) {
	return editWave(f, name, func(w *pb.Wave) bool {
		if w.Phase == pb.WavePhase_WAVE_PHASE_STOPPED {
			return false
		}
		w.Phase = pb.WavePhase_WAVE_PHASE_STOPPED
		w.Reason = reason
		return true
	})
}

// Cancel ends a wave. Draining hosts return to service; hosts in maintenance finish it. A wave that is done stays
// unchanged.
func Cancel(f *pb.Fleet, name, reason string, now time.Time) (*pb.Fleet, error) {
	w := findWave(f, name)
	if w == nil {
		return nil, unknownWave(name)
	}
	if w.Phase == pb.WavePhase_WAVE_PHASE_DONE {
		return f, nil
	}
	d := fleet.NewDraft(f)
	for _, host := range w.InProgress {
		h := d.Host(host)
		if h.GetPhase() != pb.HostPhase_HOST_PHASE_DRAINING || h.GetPurpose() != pb.HostPurpose_HOST_PURPOSE_MAINTENANCE {
			continue
		}
		if err := d.Cancel(host, now); err != nil {
			return nil, err
		}
	}
	return editWave(d.Fleet(), name, func(w *pb.Wave) bool {
		w.Phase = pb.WavePhase_WAVE_PHASE_DONE
		w.Reason = reason
		w.Pending = nil
		w.InProgress = nil
		return true
	})
}

// editWave applies a change to a copy of the fleet. It returns f unchanged if change returns false, and a WaveDone
// error if the wave has ended.
func editWave(f *pb.Fleet, name string, change func(*pb.Wave) bool) (*pb.Fleet, error) {
	if findWave(f, name) == nil {
		return nil, unknownWave(name)
	}
	next := proto.CloneOf(f)
	w := findWave(next, name)
	if w.Phase == pb.WavePhase_WAVE_PHASE_DONE {
		return nil, WaveDone.New("%q has ended; create another", name)
	}
	if !change(w) {
		return f, nil
	}
	return next, nil
}

func checkHosts(f *pb.Fleet, hosts []string) error {
	waveOf := unfinishedHosts(f)
	known := make(map[string]bool, len(f.GetHosts()))
	for _, h := range f.GetHosts() {
		known[h.Host] = true
	}
	for _, host := range hosts {
		if !known[host] {
			return fleet.UnknownHost.New("%q is not in the fleet; list the hosts and use one of their names", host)
		}
		if w := waveOf[host]; w != "" {
			return fleet.AlreadyBusy.New("%s is in wave %q; wait for that wave or cancel it", host, w)
		}
	}
	return nil
}

// unfinishedHosts maps each host that is pending or in progress in an unfinished wave to the name of that wave.
func unfinishedHosts(f *pb.Fleet) map[string]string {
	out := map[string]string{}
	for _, w := range f.GetWaves() {
		if w.Phase == pb.WavePhase_WAVE_PHASE_DONE {
			continue
		}
		for _, hosts := range [][]string{w.Pending, w.InProgress} {
			for _, host := range hosts {
				out[host] = w.Name
			}
		}
	}
	return out
}

// HasInProgress reports whether a host is in progress in an unfinished wave.
func HasInProgress(f *pb.Fleet, host string) bool {
	for _, w := range f.GetWaves() {
		if w.Phase != pb.WavePhase_WAVE_PHASE_DONE && slices.Contains(w.InProgress, host) {
			return true
		}
	}
	return false
}

func pruneDoneWaves(f *pb.Fleet) {
	done := 0
	for _, w := range f.Waves {
		if w.Phase == pb.WavePhase_WAVE_PHASE_DONE {
			done++
		}
	}
	f.Waves = slices.DeleteFunc(f.Waves, func(w *pb.Wave) bool {
		if done <= maxDoneWaves || w.Phase != pb.WavePhase_WAVE_PHASE_DONE {
			return false
		}
		done--
		return true
	})
}

func findWave(f *pb.Fleet, name string) *pb.Wave {
	for _, w := range f.GetWaves() {
		if w.Name == name {
			return w
		}
	}
	return nil
}

func unknownWave(name string) error {
	return UnknownWave.New("%q; list the waves and use one of their names", name)
}
