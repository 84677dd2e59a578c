package soak

import (
	"time"

	"github.com/samber/lo"
)

// refusal is the Detail of a Store step that makes the store refuse an entry host and revoke its leases.
const refusal = "refusal"

// takeoverKinds returns the series of Takeovers and most of Refusals, with frequent ones repeated.
func (d *planner) takeoverKinds() []kind {
	return []kind{
		{"killed in turn", d.killInTurn},
		{"killed in turn", d.killInTurn},
		{"next owner killed", d.killSuccessor},
		{"paused across a takeover", d.pauseDuringTakeover},
		{"replaced at its address", d.replace},
		{"slow, then silent store", d.silenceStore},
		{"slow, then silent store", d.silenceStore},
		{"host to store", d.cutStore},
		{"host to host", d.cutHosts},
		{"all to workers", d.cutWorkers},
		{"host to workers", d.cutHostFromWorkers},
		{"host to workers", d.cutHostFromWorkers},
		{"workers return", d.returnWorkers},
		{"workers return", d.returnWorkers},
		{"workers return behind a cut", d.returnBehindCut},
		{"late calls", d.delayCalls},
		{"entries lapse", d.lapseEntries},
		{"entries lapse", d.lapseEntries},
		{"late calls", d.delayCalls},
		{"store", d.store},
	}
}

// killInTurn kills two to four entry hosts one after the other. Each starts again soon.
func (d *planner) killInTurn() {
	for range 2 + d.random.IntN(3) {
		d.killAndStart(d.ms(100, 1500))
	}
}

// killAndStart kills an entry host at the given time after the last step, and starts it again.
func (d *planner) killAndStart(after time.Duration) {
	h := d.host()
	d.add(after, Step{Action: Kill, Host: h})
	d.add(d.ms(0, 600), Step{Action: Start, Host: h})
}

// silenceStore makes the store slow or late and then silent. Sometimes entries lapse at the end of the silence, or all entry hosts
// end during it.
func (d *planner) silenceStore() {
	slow, silent := d.ms(800, 4000), d.ms(500, 4500)
	d.add(0, Step{Action: Store, For: slow, Detail: []string{"slow", "late"}[d.random.IntN(2)]})
	d.add(slow, Step{Action: Store, For: silent, Detail: "silent"})
	if d.random.IntN(2) == 0 {
		at := d.at
		d.add(silent-d.ms(1, 300), Step{Action: Lapse})
		d.at = at
	}
	if d.random.IntN(3) == 0 {
		d.add(d.ms(0, int(silent.Milliseconds())), Step{Action: Kill, Host: d.host()})
		d.stopAll()
	}
}

// lapseEntries makes registry entries lapse, and sometimes kills an entry host after that.
func (d *planner) lapseEntries() {
	d.add(0, Step{Action: Lapse})
	if d.random.IntN(2) == 0 {
		d.killAndStart(d.ms(0, 1200))
	}
}

func (d *planner) returnWorkers() {
	for range 1 + d.random.IntN(3) {
		d.add(d.ms(0, 1500), Step{Action: Return, Workers: 1 + d.random.IntN(max(1, lo.Sum(d.Pools)/4))})
	}
}

// returnBehindCut makes workers crash and return while the links to some workers are cut. Sometimes entry hosts are killed after
// that.
func (d *planner) returnBehindCut() {
	at, lasts := d.at, d.ms(1000, 4500)
	i := Impairment{Harm: []Harm{Stall, Cut, Close, Refuse}[d.random.IntN(4)], Direction: Direction(d.random.IntN(2))}
	for _, i.Link = range d.linksToWorkers("") {
		d.add(0, Step{Action: Impair, For: lasts, Impairment: i})
	}
	d.add(d.ms(100, int(lasts.Milliseconds())), Step{Action: Return, Workers: 1 + d.random.IntN(max(1, lo.Sum(d.Pools)/3))})
	d.at = at + lasts
	if d.random.IntN(2) == 0 {
		d.killInTurn()
	}
}

// refuseHosts makes the store refuse up to half of the entry hosts for a time, one to three times. Mostly, workers return meanwhile.
func (d *planner) refuseHosts() {
	for range 1 + d.random.IntN(3) {
		lasts := d.ms(1500, 5000)
		for _, h := range d.random.Perm(d.Hosts)[:1+d.random.IntN((d.Hosts+1)/2)] {
			d.add(d.ms(0, 100), Step{Action: Store, Host: 1 + h, For: lasts, Detail: refusal})
		}
		until := d.at + lasts
		if d.random.IntN(3) > 0 {
			d.returnWorkers()
		}
		d.at = max(d.at, until) + d.ms(100, 1500)
	}
}

// delayCalls makes orders or holds late and loses answers, each with even odds.
func (d *planner) delayCalls() {
	for _, action := range []Action{DelayOrders, DelayHolds, LoseAnswers} {
		if d.random.IntN(2) == 0 {
			d.add(0, Step{Action: action, For: d.ms(1000, 6000)})
		}
	}
}

// lastOutage silences the store, cuts workers, makes some return, and ends all entry hosts.
func (d *planner) lastOutage() {
	at := d.at
	d.silenceStore()
	d.at = at + d.ms(200, 1500)
	d.cutWorkers()
	d.at = at + d.ms(200, 2500)
	d.returnWorkers()
	d.at = at + d.ms(500, 3500)
	d.stopAll()
}
