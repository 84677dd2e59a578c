package slots

import "sort"

// HostFree is the number of slots of a host that this member may take now.
type HostFree struct {
	Host string
	Free int
}

// Token stands for one slot in use. Its zero value stands for none.
type Token struct {
	Host  string
	Index uint32
	// serial is new with each Take, so that a second Release of a token does nothing.
	serial uint64
}

// Free lists the hosts of a pool that have free slots, by name.
func (l *Ledger) Free(pool string) []HostFree {
	var out []HostFree
	for _, h := range l.pools[pool] {
		if h.free > 0 {
			out = append(out, HostFree{Host: h.Host, Free: h.free})
		}
	}
	return out
}

// FreeSlots returns the number of slots of a pool that this member may take now.
func (l *Ledger) FreeSlots(pool string) int {
	n := 0
	for _, h := range l.pools[pool] {
		n += h.free
	}
	return n
}

// Take takes a slot of a host: an own one first, then a borrowed one. It returns ErrNoFreeSlot if there is none.
func (l *Ledger) Take(hostName string) (Token, error) {
	h := l.hosts[hostName]
	if h == nil || h.free == 0 {
		return Token{}, ErrNoFreeSlot
	}
	var chosen *record
	for _, r := range h.records {
		if l.usable(r) && (chosen == nil || r.own && !chosen.own) {
			chosen = r
		}
	}
	l.serial++
	chosen.busy = l.serial
	if chosen.held != nil {
		chosen.held.idleSince = noTime
	}
	h.free--
	l.inUse++
	return Token{Host: hostName, Index: chosen.key.index, serial: l.serial}, nil
}

// Release ends the use of a slot. A token that was released before does nothing.
func (l *Ledger) Release(t Token) {
	h := l.hosts[t.Host]
	if h == nil || int(t.Index) >= len(h.records) {
		return
	}
	r := h.records[t.Index]
	if t.serial == 0 || r.busy != t.serial {
		return
	}
	r.busy = 0
	l.inUse--
	switch {
	case r.own:
	case r.held == nil:
		delete(l.foreign, r.key)
	case r.held.recalled || r.held.from != r.owner:
		l.giveBack(r)
	}
	l.recount(h)
	if !h.known {
		l.forget(h.Host, h)
	}
}

// usable says whether a slot may be taken now.
func (l *Ledger) usable(r *record) bool {
	if !l.active || !r.open() || r.busy != 0 {
		return false
	}
	if r.own {
		return r.ready()
	}
	return r.held != nil && !r.held.recalled && r.held.from == r.owner
}

// open says whether the slot's host takes new work.
func (r *record) open() bool {
	return r.host.known && !r.host.Closed && int(r.key.index) < r.host.Slots
}

// ready says whether an own slot is this member's to use or lend.
func (r *record) ready() bool {
	return r.acquired == 0 && r.lent == nil
}

// InUse returns the number of slots that this member uses.
func (l *Ledger) InUse() int { return l.inUse }

// Lent returns the number of own slots that are lent.
func (l *Ledger) Lent() int { return len(l.lent) }

// Borrowed returns the number of slots that this member holds and doesn't own.
func (l *Ledger) Borrowed() int { return len(l.foreign) }

// Own returns the number of own slots, those that may not be used yet included.
func (l *Ledger) Own() int {
	n := 0
	for _, h := range l.hosts {
		for _, r := range h.records {
			if r.own {
				n++
			}
		}
	}
	return n
}

// Waiting returns the number of own slots that may not be used yet, since a member may still hold them.
func (l *Ledger) Waiting() int { return len(l.waiting) }

// sortedKeys returns the keys of a set of slots by host and index.
func sortedKeys[V any](m map[slotKey]V) []slotKey {
	keys := make([]slotKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].host != keys[j].host {
			return keys[i].host < keys[j].host
		}
		return keys[i].index < keys[j].index
	})
	return keys
}
