package scheduler

import "time"

// Evacuate replaces the set of workers that are to be emptied.
func (p *Pool) Evacuate(_ time.Time, ids []string) {
	p.evacuate = make(map[string]bool, len(ids))
	for _, id := range ids {
		p.evacuate[id] = true
	}
	for _, w := range p.order {
		if w.evacuating != p.evacuate[w.ID] {
			w.evacuating = p.evacuate[w.ID]
			w.emptyConfirmed = false
			p.place = true
		}
	}
}

func (p *Pool) checkEvacuation(time.Time) {}
