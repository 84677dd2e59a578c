package jobplatform

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/store"
)

const (
	maxBodyBytes = 2 << 20
	pageItems    = 500
)

// kvItem is an item or an event on the wire. encoding/json writes []byte as standard base64.
type kvItem struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev"`
	Lease      uint64 `json:"lease"`
	Deleted    bool   `json:"deleted,omitempty"`
}

func kvItemOf(i store.Item) kvItem {
	return kvItem{Key: i.Key, Value: i.Data, Revision: i.Version, CreatedRev: i.Created, Lease: i.Lease}
}

// kvServer serves a store to entry hosts.
type kvServer struct {
	kv store.Transactor
	// network is the network of the addresses in values, clientNetwork the one that the client uses in its place. Both have the
	// same length.
	network, clientNetwork string
}

func (s kvServer) itemOf(i store.Item) kvItem {
	i.Data = bytes.ReplaceAll(i.Data, []byte(s.network), []byte(s.clientNetwork))
	return kvItemOf(i)
}

func (s kvServer) itemsOf(items []store.Item) []kvItem {
	return lo.Map(items, func(i store.Item, _ int) kvItem { return s.itemOf(i) })
}

func (s kvServer) route(mux *http.ServeMux) {
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.commit)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{lease}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{lease}", s.end)
}

func (s kvServer) get(w http.ResponseWriter, r *http.Request) {
	item, err := s.kv.Get(r.Context(), r.FormValue("key"))
	if err == nil && item.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.answer(w, s.itemOf(item), err)
}

func (s kvServer) list(w http.ResponseWriter, r *http.Request) {
	items, asOf, err := s.kv.Range(r.Context(), r.FormValue("prefix"), r.FormValue("staleOk") == "1")
	after := r.FormValue("after")
	items = lo.DropWhile(items, func(i store.Item) bool { return after != "" && i.Key <= after })
	more := len(items) > pageItems
	s.answer(w, map[string]any{"items": s.itemsOf(items[:min(len(items), pageItems)]), "morePages": more, "asOf": asOf}, err)
}

func (s kvServer) watch(w http.ResponseWriter, r *http.Request) {
	after, afterErr := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.FormValue("waitMs"))
	if afterErr != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	events, asOf, err := s.kv.Watch(r.Context(), r.FormValue("prefix"), after, time.Duration(wait)*time.Millisecond)
	wire := lo.Map(events, func(e store.Event, _ int) kvItem {
		item := s.itemOf(e.Item)
		item.Deleted = e.Deleted
		return item
	})
	s.answer(w, map[string]any{"events": wire, "asOf": asOf}, err)
}

type kvCommit struct {
	ExpectedRev []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expectedRev"`
	Puts    []kvItem `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s kvServer) commit(w http.ResponseWriter, r *http.Request) {
	var body kvCommit
	if !readBody(w, r, &body) {
		return
	}
	t := store.Transaction{Deletes: body.Deletes}
	for _, c := range body.ExpectedRev {
		t.Conditions = append(t.Conditions, store.Condition{Key: c.Key, Version: c.Revision})
	}
	written := body.Deletes
	for _, p := range body.Puts {
		t.Puts = append(t.Puts, store.Put{Key: p.Key, Data: bytes.ReplaceAll(p.Value, []byte(s.clientNetwork), []byte(s.network)), Lease: p.Lease})
		written = append(written, p.Key)
	}
	if lo.SomeBy(written, reserved) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	revision, err := s.kv.Commit(r.Context(), t)
	s.answer(w, map[string]any{"revision": revision}, err)
}

// reserved reports whether a key is read-only for entry hosts.
func reserved(key string) bool {
	return strings.HasPrefix(key, operatorPrefix) || strings.HasPrefix(key, workersPrefix)
}

func (s kvServer) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if !readBody(w, r, &body) {
		return
	}
	lease, ttl, err := s.kv.Grant(r.Context(), time.Duration(body.TTLMs)*time.Millisecond)
	s.answer(w, map[string]any{"lease": lease, "ttlMs": ttl.Milliseconds()}, err)
}

func (s kvServer) keep(w http.ResponseWriter, r *http.Request) {
	lease, err := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	if err == nil {
		err = s.kv.KeepAlive(r.Context(), lease)
	}
	s.answer(w, struct{}{}, err)
}

func (s kvServer) end(w http.ResponseWriter, r *http.Request) {
	lease, err := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	if err == nil {
		err = s.kv.Revoke(r.Context(), lease)
	}
	s.answer(w, struct{}{}, err)
}

// answer writes a value or the status of a store error. An unknown outcome aborts the connection.
func (s kvServer) answer(w http.ResponseWriter, value any, err error) {
	var conflict *store.ConflictError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, value)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": s.itemsOf(conflict.Items)})
	case store.LeaseLost.Has(err):
		w.WriteHeader(http.StatusNotFound)
	case store.Compacted.Has(err):
		w.WriteHeader(http.StatusGone)
	case store.Unavailable.Has(err):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the caller may have disconnected
}

// readBody reads the body; it answers the caller and returns false if that fails.
func readBody(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
