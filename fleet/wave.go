package fleet

import pb "github.com/agateturn/agateturn/gen/agateturn/v1"

// EditWave changes a wave of the draft. It does nothing if there is no such wave.
func (d *Draft) EditWave(name string, change func(*pb.Wave)) {
	for _, w := range d.fleet.Waves {
		if w.Name == name {
			change(w)
			d.changed = true
			return
		}
	}
}
