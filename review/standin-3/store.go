package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item or an event of the platform's store, as it is sent.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev"`
	Lease      uint64 `json:"lease"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// kvStore is the platform's metadata store: linearizable, with leases and watches. It loses nothing.
type kvStore struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	leases   map[uint64]*kvLease
	changed  chan struct{}
	// dropped is the revision up to which the history is no longer there.
	dropped uint64
	// past holds the changes with their times, from which stale reads are served while they are behind by staleBy.
	past    []pastChange
	staleBy time.Duration
	// deaf is closed once the watches that wait have been cut: they hear nothing more, and neither do those that begin meanwhile.
	deaf    bool
	deafGen int
}

type pastChange struct {
	item
	at time.Time
}

type kvLease struct {
	ttl time.Duration
	end time.Time
}

const (
	pageItems   = 500
	answerDelay = 3 * time.Millisecond
	minTTL      = time.Second
)

func newStore() *kvStore {
	s := &kvStore{items: map[string]item{}, leases: map[uint64]*kvLease{}, changed: make(chan struct{}), revision: 100}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.end) {
					s.endLeaseLocked(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *kvStore) endLeaseLocked(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.changeLocked(nil, keys)
	}
}

// changeLocked applies puts and deletes as one change.
func (s *kvStore) changeLocked(puts []item, deletes []string) uint64 {
	s.revision++
	for _, p := range puts {
		created := s.revision
		if old, ok := s.items[p.Key]; ok {
			created = old.CreatedRev
		}
		i := item{Key: p.Key, Value: p.Value, Revision: s.revision, CreatedRev: created, Lease: p.Lease}
		s.items[p.Key] = i
		s.history = append(s.history, i)
		s.past = append(s.past, pastChange{i, time.Now()})
	}
	for _, k := range deletes {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			i := item{Key: k, Revision: s.revision, Deleted: true}
			s.history = append(s.history, i)
			s.past = append(s.past, pastChange{i, time.Now()})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// put writes a key for the operator or a worker.
func (s *kvStore) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changeLocked([]item{{Key: key, Value: data}}, nil)
}

func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changeLocked(nil, []string{key})
}

func (s *kvStore) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

// compact is platform_compact: the watches hear nothing for a second while changes are made, then the history is dropped and
// they are cut, without a word. Stale reads are behind by staleBy for a time.
func (s *kvStore) compact(staleBy, stale time.Duration) {
	s.mu.Lock()
	s.deaf, s.staleBy = true, staleBy
	s.deafGen++
	s.mu.Unlock()
	time.AfterFunc(time.Second, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.deaf = false
		s.deafGen++
		s.dropped, s.history = s.revision, nil
	})
	time.AfterFunc(stale, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.staleBy = 0
	})
}

// staleLocked returns the items as they were staleBy ago.
func (s *kvStore) staleLocked() (items map[string]item, asOf uint64) {
	items = map[string]item{}
	until := time.Now().Add(-s.staleBy)
	for _, c := range s.past {
		if c.at.After(until) {
			break
		}
		asOf = c.Revision
		if c.Deleted {
			delete(items, c.Key)
		} else {
			items[c.Key] = c.item
		}
	}
	return items, asOf
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serve listens on a free port of a loopback address and returns its address.
func serve(ip string, h http.Handler) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("listen: " + err.Error())
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

func (s *kvStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		i, ok := s.items[r.FormValue("key")]
		asOf := s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, 200, struct {
			item
			AsOf uint64 `json:"asOf"`
		}{i, asOf})
	})
	mux.HandleFunc("GET /-/kv-range", func(w http.ResponseWriter, r *http.Request) {
		prefix, after := r.FormValue("prefix"), r.FormValue("after")
		s.mu.Lock()
		all := []item{}
		items, asOf := s.items, s.revision
		if r.FormValue("staleOk") == "1" && s.staleBy > 0 {
			items, asOf = s.staleLocked()
		}
		for k, i := range items {
			if strings.HasPrefix(k, prefix) && k > after {
				all = append(all, i)
			}
		}
		s.mu.Unlock()
		sort.Slice(all, func(a, b int) bool { return all[a].Key < all[b].Key })
		more := len(all) > pageItems
		reply(w, 200, map[string]any{"items": all[:min(len(all), pageItems)], "morePages": more, "asOf": asOf})
	})
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.txn)
	mux.HandleFunc("POST /-/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var b struct{ TTLMs int64 }
		_ = json.NewDecoder(r.Body).Decode(&b)
		ttl := max(time.Duration(b.TTLMs)*time.Millisecond, minTTL)
		s.mu.Lock()
		s.revision++
		id := s.revision
		s.leases[id] = &kvLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
	})
	mux.HandleFunc("POST /-/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.end = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	})
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		s.endLeaseLocked(id)
		s.mu.Unlock()
		reply(w, 200, struct{}{})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerDelay)
		mux.ServeHTTP(w, r)
	})
}

// view is the store as one client sees it: addresses stand for others there. Both have the same length.
type view struct {
	http.Handler
	there, here []string
}

func (v view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if len(v.there) == 0 {
		v.Handler.ServeHTTP(w, r)
		return
	}
	v.Handler.ServeHTTP(&viewWriter{w, v}, r)
}

type viewWriter struct {
	http.ResponseWriter
	v view
}

// Write replaces the addresses in the values of an answer, which is written in one piece.
func (w *viewWriter) Write(p []byte) (int, error) {
	var any map[string]json.RawMessage
	if json.Unmarshal(p, &any) != nil {
		return w.ResponseWriter.Write(p)
	}
	change := func(raw json.RawMessage) json.RawMessage {
		var value []byte
		if json.Unmarshal(raw, &value) != nil {
			return raw
		}
		for i := range w.v.there {
			value = bytes.ReplaceAll(value, []byte(w.v.there[i]), []byte(w.v.here[i]))
		}
		out, _ := json.Marshal(value)
		return out
	}
	if raw, ok := any["value"]; ok {
		any["value"] = change(raw)
	}
	for _, list := range []string{"items", "events"} {
		var rows []map[string]json.RawMessage
		if json.Unmarshal(any[list], &rows) != nil || rows == nil {
			continue
		}
		for _, row := range rows {
			row["value"] = change(row["value"])
		}
		any[list], _ = json.Marshal(rows)
	}
	out, _ := json.Marshal(any)
	_, err := w.ResponseWriter.Write(out)
	return len(p), err
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	gen := s.deafGen
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.deaf || s.deafGen != gen { // cut: it hears nothing more
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		first := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, 200, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var b struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRev"`
		Puts    []item   `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.ExpectedRev)+len(b.Puts)+len(b.Deletes) > 32*3 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range b.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	met, current := true, []item{}
	for _, e := range b.ExpectedRev {
		i, ok := s.items[e.Key]
		met = met && i.Revision == e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range b.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	reply(w, 200, map[string]any{"revision": s.changeLocked(b.Puts, b.Deletes)})
}
