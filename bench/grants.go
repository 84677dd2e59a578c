package bench

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// grants is the strategy in which a dispatcher for each pool grants a slot for each request. Its messages have the sizes
// of claims, which carry about the same data.
type grants struct {
	x     *simulation
	pools map[string]*grantPool
	// held holds the granted slots that are not in use yet, by entry host and pool.
	held [entryHosts]map[string][]slotID
	busy [entryHosts]map[slotID]bool
}

// grantPool is the dispatcher's view of a pool.
type grantPool struct {
	dispatcher int
	free       []slotID
	// requesters lists the entry hosts that requested a slot, first come first served.
	requesters []int
}

func grantPerRequest(x *simulation) allocator {
	w := &grants{x: x, pools: map[string]*grantPool{}}
	for i := range w.held {
		w.held[i] = map[string][]slotID{}
		w.busy[i] = map[slotID]bool{}
	}
	for _, p := range x.deployment.Pools {
		w.pools[p.Name] = &grantPool{dispatcher: dispatcherOf(p.Name, x.live()), free: poolSlots(x.deployment, p.Name)}
	}
	return w
}

func (w *grants) free(node int, pool string) int { return len(w.held[node][pool]) }

func (w *grants) take(node int, pool string) slot {
	held := w.held[node][pool]
	id := held[0]
	w.held[node][pool] = held[1:]
	w.busy[node][id] = true
	return slot{host: id.host, token: id}
}

func (w *grants) release(node int, pool string, s slot) {
	id := s.token.(slotID)
	delete(w.busy[node], id)
	w.returnSlot(node, pool, id)
}

// returnSlot returns a slot to the dispatcher of its pool.
func (w *grants) returnSlot(node int, pool string, id slotID) {
	p := w.pools[pool]
	m := &pb.FinishRequest{Service: pool, Key: id.host, Attempt: incarnation(node), Outcome: &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_DONE}}
	w.deliver(node, p.dispatcher, m, func() {
		p.free = append(p.free, id)
		w.grant(pool)
	})
}

// deliver sends a message; it skips the network if the sender and the receiver are the same entry host.
func (w *grants) deliver(from, to int, m *pb.FinishRequest, receive func()) {
	if from == to {
		receive()
		return
	}
	w.x.send(from, to, m, receive)
}

// onQueued requests a slot for a request that was queued.
func (w *grants) onQueued(node int, pool string) {
	p := w.pools[pool]
	request := func() {
		p.requesters = append(p.requesters, node)
		w.grant(pool)
	}
	if node == p.dispatcher {
		request()
		return
	}
	m := &pb.ClaimRequest{Service: pool, Key: incarnation(node), Member: entryHostName(node), Incarnation: incarnation(node), FleetRevision: 1}
	w.x.send(node, p.dispatcher, m, request)
}

// grant assigns free slots to the entry hosts that requested them.
func (w *grants) grant(pool string) {
	p := w.pools[pool]
	if w.x.entries[p.dispatcher].dead {
		return
	}
	for len(p.free) > 0 && len(p.requesters) > 0 {
		id, to := p.free[0], p.requesters[0]
		p.free, p.requesters = p.free[1:], p.requesters[1:]
		if e := w.x.entries[to]; e.dead || e.frozen {
			w.x.after(deathProofDelay, func() {
				p.free = append(p.free, id)
				w.grant(pool)
			})
			continue
		}
		receive := func() { w.receive(to, pool, id) }
		if to == p.dispatcher {
			receive()
			continue
		}
		w.x.send(p.dispatcher, to, &pb.ClaimResponse{Verdict: pb.ClaimVerdict_CLAIM_VERDICT_GRANTED, Outcome: &pb.Outcome{Status: 200}}, receive)
	}
}

// receive handles a granted slot, and returns it if no request is queued any more.
func (w *grants) receive(node int, pool string, id slotID) {
	w.held[node][pool] = append(w.held[node][pool], id)
	w.x.pump(node, pool)
	unused := w.held[node][pool]
	w.held[node][pool] = nil
	for _, id := range unused {
		w.returnSlot(node, pool, id)
	}
}

func (w *grants) decide(int)         {}
func (w *grants) sendHeartbeats(int) {}

// onDeath replaces the dispatcher of the pools that the entry host dispatched, and frees the slots that it used.
func (w *grants) onDeath(node int) {
	inUseAtDeath := w.busy[node]
	w.busy[node] = map[slotID]bool{}
	w.x.after(deathProofDelay+maxApplyDelay, func() {
		for _, spec := range w.x.deployment.Pools {
			if w.pools[spec.Name].dispatcher == node {
				w.rebuild(spec.Name)
				continue
			}
			for _, id := range poolSlots(w.x.deployment, spec.Name) {
				if inUseAtDeath[id] {
					w.pools[spec.Name].free = append(w.pools[spec.Name].free, id)
				}
			}
			w.grant(spec.Name)
		}
	})
}

// rebuild collects the slots in use and the waiting requests from the other entry hosts for a new dispatcher.
func (w *grants) rebuild(pool string) {
	p := w.pools[pool]
	p.dispatcher = dispatcherOf(pool, w.x.live())
	p.free, p.requesters = nil, nil
	for _, id := range poolSlots(w.x.deployment, pool) {
		if !w.inUse(id) {
			p.free = append(p.free, id)
		}
	}
	for _, i := range w.x.live() {
		for range w.x.entries[i].waiting[pool] {
			p.requesters = append(p.requesters, i)
		}
	}
	w.grant(pool)
}

func (w *grants) inUse(id slotID) bool {
	for _, busy := range w.busy {
		if busy[id] {
			return true
		}
	}
	return false
}

func (w *grants) usable(pool string) int {
	if w.x.entries[w.pools[pool].dispatcher].dead {
		return 0
	}
	return w.x.pools[pool].slots
}

// creditTTL bounds the time for which a lent slot may be used without renewal.
const creditTTL = 2 * time.Second
