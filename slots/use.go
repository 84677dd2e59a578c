package slots

import "sort"

// HostFree is the number of slots of a host that this member can take now.
type HostFree struct {
	Host string
	Free int
}

// Token identifies one slot in use. The zero value identifies none.
type Token struct {
	Host  string
	Index uint32
	// serial is unique to each Take, so that a second Release of a token does nothing.
	serial uint64
}

// Free returns the hosts of a pool that have free slots, sorted by name.
func (l *Ledger) Free(pool string) []HostFree {
	var out []HostFree
	for _, h := range l.pools[pool] {
		if h.free > 0 {
			out = append(out, HostFree{Host: h.Host, Free: h.free})
		}
	}
	return out
}

// FreeSlots returns the number of slots of a pool that this member can take now.
func (l *Ledger) FreeSlots(pool string) int {
	n := 0
	for _, h := range l.pools[pool] {
		n += h.free
	}
	return n
}

// Take takes a slot of a host, preferring an owned one to a borrowed one. It returns ErrNoFreeSlot if there is none.
func (l *Ledger) Take(hostName string) (Token, error) {
	h := l.hosts[hostName]
	if h == nil || h.free == 0 {
		return Token{}, ErrNoFreeSlot
	}
	var chosen *record
	for _, r := range h.records {
		if l.usable(r) && (chosen == nil || r.owned && !chosen.owned) {
			chosen = r
		}
	}
	l.serial++
	chosen.tokenSerial = l.serial
	if chosen.borrowed != nil {
		chosen.borrowed.idleSince = zeroTime
	}
	h.free--
	l.inUse++
	return Token{Host: hostName, Index: chosen.key.index, serial: l.serial}, nil
}

// Release ends the use of a slot. Releasing a token again does nothing.
func (l *Ledger) Release(t Token) {
	h := l.hosts[t.Host]
	if h == nil || int(t.Index) >= len(h.records) {
		return
	}
	r := h.records[t.Index]
	if t.serial == 0 || r.tokenSerial != t.serial {
		return
	}
	r.tokenSerial = 0
	l.inUse--
	switch {
	case r.owned:
	case r.borrowed == nil:
		delete(l.foreign, r.key)
	case r.borrowed.recalled || r.borrowed.from != r.owner:
		l.returnLoan(r)
	}
	l.recount(h)
	if !h.known {
		l.forget(h.Host, h)
	}
}

// usable reports whether a slot can be taken now.
func (l *Ledger) usable(r *record) bool {
	if !l.active || !r.open() || r.tokenSerial != 0 {
		return false
	}
	if r.owned {
		return r.ready()
	}
	return r.borrowed != nil && !r.borrowed.recalled && r.borrowed.from == r.owner
}

// open reports whether the slot's host takes new work.
func (r *record) open() bool {
	return r.host.known && !r.host.Closed && int(r.key.index) < r.host.Slots
}

// ready reports whether an owned slot is cleared for use and not lent.
func (r *record) ready() bool {
	return r.acquiredRevision == 0 && r.lent == nil
}

// InUse returns the number of slots that this member uses.
func (l *Ledger) InUse() int { return l.inUse }

// Lent returns the number of owned slots that are lent.
func (l *Ledger) Lent() int { return len(l.lent) }

// Borrowed returns the number of slots that this member holds and doesn't own.
func (l *Ledger) Borrowed() int { return len(l.foreign) }

// Own returns the number of owned slots, including those that may not be used yet.
func (l *Ledger) Own() int {
	n := 0
	for _, h := range l.hosts {
		for _, r := range h.records {
			if r.owned {
				n++
			}
		}
	}
	return n
}

// Waiting returns the number of owned slots that may not be used yet because another member may still hold them.
func (l *Ledger) Waiting() int { return len(l.waiting) }

// sortedKeys returns the keys of m sorted by host and index.
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
