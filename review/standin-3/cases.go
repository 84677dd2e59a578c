package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// endsCase: many small work items end on two workers while the entry host that owns their pool stands still.
func endsCase(d *deployment, trouble bool) []string {
	n := 0
	c := d.startCloud(func(m *machine) *worker {
		n++
		w := newWorker(d.log, d.ip, fmt.Sprintf("i-%s-%d", m.id, n), m.pool, m.id, 32000, 65536)
		w.register(d.store)
		return w
	})
	c.add(&machine{id: "m1", pool: poolName})
	c.add(&machine{id: "m2", pool: poolName})
	d.configure(7, []string{poolName}, route{queuePrefix, poolName})
	d.addHosts(9)
	owner := d.awaitOwner(poolName)
	time.Sleep(2 * time.Second)
	var other *host
	for _, h := range d.hosts {
		if h != owner {
			other = h
		}
	}
	const jobs, items, work = 40, 32, 1800
	ids := make([]string, jobs)
	for i := range ids {
		ids[i] = fmt.Sprintf("5c0e7a21d94b%04x", i)
		body := fmt.Sprintf(`{"spec":"%d of job %d","steps":[{"count":%d,"cpu":40,"memMb":60,"estimateMs":%d}]}`, work, i, items, work)
		if status, _ := d.call(other, "POST", hostName, queuePrefix+ids[i], body); status != 200 {
			cannotRun("a job was not accepted")
		}
	}
	workers := []*worker{c.machines[0].worker, c.machines[1].worker}
	for range 100 { // until all run
		time.Sleep(20 * time.Millisecond)
		d.log.mu.Lock()
		starts := d.log.starts
		d.log.mu.Unlock()
		if starts >= jobs*items {
			break
		}
	}
	for _, w := range workers {
		running, unacked := w.counts()
		d.log.add("worker %s runs %d work items, %d ends are not taken note of", w.id, running, unacked)
	}
	if trouble { // node_freeze: one of nine, for 3.5 s
		d.signal(owner, syscall.SIGSTOP)
		time.AfterFunc(3500*time.Millisecond, func() { d.signal(owner, syscall.SIGCONT) })
	}
	end := time.Now().Add(30 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(500 * time.Millisecond)
		done := 0
		for _, id := range ids {
			if _, body := d.call(other, "GET", hostName, queuePrefix+id, ""); strings.Contains(body, "completed") {
				done++
			}
		}
		if done == jobs {
			break
		}
	}
	time.Sleep(5 * time.Second)
	return d.log.twice()
}

// waveCase: the operator orders an upkeep for a machine that has just been added.
func waveCase(d *deployment, trouble bool) []string {
	n := 0
	c := d.startCloud(func(m *machine) *worker {
		n++
		w := newWorker(d.log, d.ip, fmt.Sprintf("i-%s-%d", m.id, n), m.pool, m.id, 32000, 65536)
		w.register(d.store)
		return w
	})
	for i := range 4 {
		c.add(&machine{id: fmt.Sprintf("m%d", i+1), pool: poolName})
	}
	d.configure(7, []string{poolName}, route{queuePrefix, poolName})
	d.addHosts(3)
	d.awaitOwner("~fleet")
	time.Sleep(6 * time.Second)
	var broken []string
	for wave := int64(1); wave <= 3; wave++ {
		id := fmt.Sprintf("m-new-%d", wave)
		if trouble {
			c.add(&machine{id: id, pool: poolName})
			time.Sleep(100 * time.Millisecond)
		} else {
			id = fmt.Sprintf("m%d", wave)
		}
		d.log.add("operator writes wave %d: machine %s, within 20 s, cap 1", wave, id)
		d.store.put(fmt.Sprintf("op/wave/%d", wave), map[string]any{"wave": wave, "machines": []string{id}, "withinS": 20, "cap": 1})
		last := ""
		for range 150 {
			time.Sleep(100 * time.Millisecond)
			i, _ := d.store.get(fmt.Sprintf("status/wave/%d", wave))
			if state := string(i.Value); state != last {
				last = state
				d.log.add("status/wave/%d is %s; upkeep of %s has begun: %t", wave, state, id, c.begun(id, wave))
			}
			if strings.Contains(last, "completed") {
				if !c.begun(id, wave) {
					time.Sleep(5 * time.Second)
					broken = append(broken, fmt.Sprintf("wave %d is said to be completed, and the upkeep of its machine %s hasn't begun; begun 5 s later: %t", wave, id, c.begun(id, wave)))
				}
				break
			}
		}
		time.Sleep(3300 * time.Millisecond)
	}
	return broken
}

// crashCase: one of ten workers crashes twice, and a job's work items find room only there.
func crashCase(d *deployment, trouble bool) []string {
	n := 0
	c := d.startCloud(func(m *machine) *worker {
		n++
		w := newWorker(d.log, d.ip, fmt.Sprintf("i-%s-%d", m.id, n), m.pool, m.id, 32000, 65536)
		w.register(d.store)
		return w
	})
	for i := range 10 {
		c.add(&machine{id: fmt.Sprintf("m%d", i+1), pool: poolName})
	}
	d.configure(7, []string{poolName}, route{queuePrefix, poolName})
	d.addHosts(3)
	d.awaitOwner(poolName)
	time.Sleep(2 * time.Second)
	entry := d.hosts[0]
	lasting := `{"spec":"0 lasts","steps":[{"count":9,"cpu":30000,"memMb":1000,"estimateMs":1000,"persistent":true,"maxPerServer":1}]}`
	if status, _ := d.call(entry, "POST", hostName, queuePrefix+"5c0e7a21d94b0001", lasting); status != 200 {
		cannotRun("a job was not accepted")
	}
	time.Sleep(2 * time.Second)
	var free *machine
	for _, m := range c.machines {
		if running, _ := m.worker.counts(); running == 0 {
			free = m
		}
	}
	if free == nil {
		cannotRun("no worker is free")
	}
	id := "5c0e7a21d94b0002"
	if status, _ := d.call(entry, "POST", hostName, queuePrefix+id, `{"spec":"2000 of the job","steps":[{"count":4,"cpu":4000,"memMb":1000,"estimateMs":2000}]}`); status != 200 {
		cannotRun("a job was not accepted")
	}
	time.Sleep(600 * time.Millisecond)
	if trouble {
		for range 2 { // srv_crash, for 0.7 s, of one worker of ten
			c.crash(free, 700*time.Millisecond)
			time.Sleep(1400 * time.Millisecond)
		}
	}
	last := ""
	for range 60 {
		time.Sleep(500 * time.Millisecond)
		_, last = d.call(entry, "GET", hostName, queuePrefix+id, "")
		if strings.Contains(last, "completed") || strings.Contains(last, "failed") {
			break
		}
	}
	failed := 0
	d.log.mu.Lock()
	for task, t := range d.log.tasks {
		for _, e := range t.ends {
			if strings.HasPrefix(task, id) && e.how == "failed" {
				failed++
			}
		}
	}
	d.log.mu.Unlock()
	if strings.Contains(last, "failed") && failed == 0 {
		return []string{fmt.Sprintf("job %s, which nobody has cancelled, is shown as failed, and %d runs of it have ended failed", id, failed)}
	}
	if !strings.Contains(last, "completed") {
		return []string{fmt.Sprintf("job %s is not completed: %s", id, last)}
	}
	return nil
}

// nestedCase: a route is removed whose prefix begins with that of another route.
func nestedCase(d *deployment, trouble bool) []string {
	n := 0
	c := d.startCloud(func(m *machine) *worker {
		n++
		w := newWorker(d.log, d.ip, fmt.Sprintf("i-%s-%d", m.id, n), m.pool, m.id, 32000, 65536)
		w.register(d.store)
		return w
	})
	for i := range 3 {
		c.add(&machine{id: fmt.Sprintf("m%d", i+1), pool: poolName})
	}
	const nested = queuePrefix + "fi50/"
	both := []route{{queuePrefix, poolName}, {nested, poolName}}
	d.configure(7, []string{poolName}, both...)
	d.addHosts(3)
	d.awaitOwner(poolName)
	time.Sleep(2 * time.Second)
	entry := d.hosts[0]
	kept, cancelled := "5c0e7a21d94b0001", "5c0e7a21d94b0002"
	for _, id := range []string{kept, cancelled} {
		body := `{"spec":"0 lasts","steps":[{"count":2,"cpu":2000,"memMb":1000,"estimateMs":1000,"persistent":true}]}`
		if status, _ := d.call(entry, "POST", hostName, nested+id, body); status != 200 {
			cannotRun("a job was not accepted")
		}
	}
	time.Sleep(4 * time.Second) // over visible_ms
	for _, h := range d.hosts {
		d.call(h, "GET", hostName, nested+kept, "")
	}
	if trouble {
		d.configure(9, []string{poolName}, both[0])
	} else {
		d.configure(9, []string{poolName}, both...)
	}
	time.Sleep(4 * time.Second) // over configApplyMs
	var broken []string
	for _, h := range d.hosts {
		if status, _ := d.call(h, "GET", hostName, nested+kept, ""); status == 410 {
			broken = append(broken, fmt.Sprintf("%s answers 410 to GET for job %s, which was accepted, which nobody has cancelled and which runs", h.name, kept))
		}
	}
	status, _ := d.call(entry, "DELETE", hostName, nested+cancelled, "")
	time.Sleep(4 * time.Second) // over cancel_ms + stopMs
	runs := 0
	for _, m := range c.machines {
		m.worker.mu.Lock()
		for _, r := range m.worker.runs {
			if strings.HasPrefix(r.task, cancelled) {
				runs++
			}
		}
		m.worker.mu.Unlock()
	}
	d.log.add("4 s after the DELETE of job %s, answered %d, %d of its work items run", cancelled, status, runs)
	if (status == 410 || status/100 == 2) && runs > 0 {
		broken = append(broken, fmt.Sprintf("UNASKED: %d work items of job %s run 4 s after its cancelling was acknowledged with %d", runs, cancelled, status))
	}
	return broken
}

// lateCase: an entry host that is cut off from the others takes a cancellation while the store's history goes.
func lateCase(d *deployment, trouble bool) []string {
	n := 0
	c := d.startCloud(func(m *machine) *worker {
		n++
		w := newWorker(d.log, d.ip, fmt.Sprintf("i-%s-%d", m.id, n), m.pool, m.id, 32000, 65536)
		w.register(d.store)
		return w
	})
	for i := range 3 {
		c.add(&machine{id: fmt.Sprintf("m%d", i+1), pool: poolName})
	}
	d.configure(7, []string{poolName}, route{queuePrefix, poolName})
	d.linked = true
	d.addHosts(9)
	owner, fleet := d.awaitOwner(poolName), d.awaitOwner("~fleet")
	time.Sleep(4 * time.Second)
	var other, taker *host
	for _, h := range d.hosts {
		switch {
		case h == owner || h == fleet:
		case taker == nil:
			taker = h
		default:
			other = h
		}
	}
	d.log.add("%s owns the pool; %s may be cut off", owner.name, taker.name)
	id := "5c0e7a21d94b0001"
	steps := `{"spec":"5200 of the job","steps":[{"count":1,"cpu":2000,"memMb":1000,"estimateMs":5200},{"count":4,"cpu":2000,"memMb":1000,"estimateMs":5200,"after":[0]}]}`
	if status, _ := d.call(other, "POST", hostName, queuePrefix+id, steps); status != 200 {
		cannotRun("the job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble { // node_cut: one of nine, for 5.5 s
		d.cutOff(taker, true)
		time.AfterFunc(5500*time.Millisecond, func() { d.cutOff(taker, false) })
	}
	time.Sleep(300 * time.Millisecond)
	if trouble { // platform_compact: x = 6, for 12 s
		d.log.add("the store forgets its history")
		d.store.compact(6*time.Second, 12*time.Second)
	}
	time.Sleep(200 * time.Millisecond)
	status, _ := d.call(taker, "DELETE", hostName, queuePrefix+id, "")
	acked := time.Now()
	if status != 200 {
		cannotRun("the cancellation was not acknowledged")
	}
	time.Sleep(9 * time.Second)
	var broken []string
	d.log.mu.Lock()
	for task, t := range d.log.tasks {
		for _, s := range t.starts {
			if s.at.Sub(acked) > 3*time.Second {
				broken = append(broken, fmt.Sprintf("%s starts on %s %.1f s after the cancelling of its job was acknowledged", task, s.worker, s.at.Sub(acked).Seconds()))
			}
		}
	}
	d.log.mu.Unlock()
	return broken
}
