package platformd

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/agateturn/agateturn/store"
)

const (
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

func (s *Server) routeStore() {
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.readKey)
	s.mux.HandleFunc("PUT /v1/kv/{key...}", s.writeKey)
	s.mux.HandleFunc("PUT /v1/session/create", s.createSession)
	s.mux.HandleFunc("PUT /v1/session/renew/{id}", s.renewSession)
	s.mux.HandleFunc("PUT /v1/session/destroy/{id}", s.destroySession)
}

// kvItem is one element of the answer to a read. Its field names are those of the published protocol.
type kvItem struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

func (s *Server) readKey(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	// The index is read before the value, so that a write in between makes the next wait return at once.
	index := max(s.store.Index(), 1)
	value, err := s.lookUp(r, key)
	if err != nil {
		storeError(w, err)
		return
	}
	if value.Version == 0 {
		w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
		http.Error(w, "", http.StatusNotFound)
		return
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(value.Version, 10))
	writeJSON(w, []kvItem{{
		Key: key, Value: value.Data, ModifyIndex: value.Version, Session: s.store.SessionOf(key),
	}})
}

// lookUp reads the key; if the request has an index, it waits until the key has changed after that index.
func (s *Server) lookUp(r *http.Request, key string) (store.Value, error) {
	query := r.URL.Query()
	index, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	if index == 0 {
		return s.store.Get(r.Context(), key)
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait <= 0 {
		wait = defaultWait
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxWait))
	defer cancel()
	return s.store.WaitAfter(ctx, key, index)
}

func (s *Server) writeKey(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	query := r.URL.Query()
	if session := query.Get("acquire"); session != "" {
		s.acquireKey(w, r, session, key, data)
		return
	}
	version, err := strconv.ParseUint(query.Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "a write requires cas or acquire", http.StatusBadRequest)
		return
	}
	_, err = s.store.CompareAndSwap(r.Context(), key, version, data)
	answerSwap(w, err)
}

func (s *Server) acquireKey(w http.ResponseWriter, r *http.Request, session, key string, data []byte) {
	err := s.store.AcquireKey(r.Context(), session, key, data)
	if store.LeaseLost.Has(err) {
		http.Error(w, "invalid session", http.StatusBadRequest)
		return
	}
	answerSwap(w, err)
}

// answerSwap answers true, or false on a conflict; other errors are answered by storeError.
func answerSwap(w http.ResponseWriter, err error) {
	if err != nil && !store.Conflict.Has(err) {
		storeError(w, err)
		return
	}
	writeJSON(w, err == nil)
}

// storeError simulates an outage: a lost answer closes the connection, a store that is down answers 503.
func storeError(w http.ResponseWriter, err error) {
	if store.Unknown.Has(err) {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// sessionRequest is the body of a request to create a session. Only the behaviour "delete" is supported; LockDelay is
// ignored.
type sessionRequest struct {
	Name      string
	TTL       string
	Behavior  string
	LockDelay string
}

type sessionAnswer struct {
	ID  string
	TTL string `json:",omitempty"`
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	var order sessionRequest
	if !readJSON(w, r, &order) {
		return
	}
	if order.Behavior != "delete" {
		http.Error(w, "only behaviour delete is supported", http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(order.TTL)
	if err != nil || ttl <= 0 {
		http.Error(w, "TTL must be a positive duration", http.StatusBadRequest)
		return
	}
	id, err := s.store.CreateSession(r.Context(), ttl)
	if err != nil {
		storeError(w, err)
		return
	}
	writeJSON(w, sessionAnswer{ID: id})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	err := s.store.RenewSession(r.Context(), id)
	if store.LeaseLost.Has(err) {
		http.Error(w, "session not found", http.StatusNotFound)
		return
	}
	if err != nil {
		storeError(w, err)
		return
	}
	writeJSON(w, []sessionAnswer{{ID: id}})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	if err := s.store.DestroySession(r.Context(), r.PathValue("id")); err != nil {
		storeError(w, err)
		return
	}
	_, _ = io.WriteString(w, "true\n")
}
