// Package kvhttp is a client of the platform's key-value service over HTTP, in the style of Consul's published protocol.
//
// It implements store.KV and store.Leases. Reads share keep-alive connections. Each write uses a new connection: a
// transport may automatically retry a request that fails on a reused connection, and a retried compare-and-swap whose
// first attempt took effect would be reported as a conflict.
package kvhttp

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/agateturn/agateturn/store"
)

// Malformed means that an answer cannot be parsed, or holds a value that this client did not write.
var Malformed = errs.Class("kvhttp: malformed answer; check that only agateturn uses the prefix and that the service is a key-value store")

const (
	// DefaultTimeout is the timeout of a call other than a watch.
	DefaultTimeout = 2 * time.Second
	// DefaultLeaseTTL is the time after which a lease expires unless renewed; the service may take up to twice as long.
	DefaultLeaseTTL = 10 * time.Second
	// DefaultWatch is the duration of Wait if its context has no deadline.
	DefaultWatch = 55 * time.Second

	maxAnswerBytes = 4 << 20
	headerIndex    = "X-Consul-Index"
	headerToken    = "X-Consul-Token"
)

// Store is a client of the service. All methods are safe for concurrent use.
type Store struct {
	// LeaseTTL is the time to live of a lease without renewal. Set it before the first use.
	LeaseTTL time.Duration

	address string
	prefix  string
	token   string
	timeout time.Duration
	reads   *http.Transport
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
}

var (
	_ store.KV     = (*Store)(nil)
	_ store.Leases = (*Store)(nil)
)

// New returns a client of the service at address (http://ip:port). It prepends prefix to each key, sends token with each
// call unless it is empty, and applies timeout (0: DefaultTimeout) to each call other than a watch.
func New(address, prefix, token string, timeout time.Duration) *Store {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Store{
		LeaseTTL: DefaultLeaseTTL,
		address:  strings.TrimRight(address, "/"),
		prefix:   prefix,
		token:    token,
		timeout:  timeout,
		reads:    &http.Transport{},
	}
}

// SetDial sets the function that opens connections, in place of net.Dialer.DialContext. Call it before the first use.
func (s *Store) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	s.dial = dial
	s.reads.DialContext = dial
}

// Close closes idle connections.
func (s *Store) Close() { s.reads.CloseIdleConnections() }

// Get implements store.KV.
func (s *Store) Get(ctx context.Context, key string) (store.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	found, err := s.read(ctx, key, consistentRead())
	if err != nil {
		return store.Value{}, err
	}
	return found.value()
}

// consistentRead requests a read confirmed by a quorum of the service: a read-back after a lost answer must not be stale.
func consistentRead() url.Values { return url.Values{"consistent": {""}} }

// CompareAndSwap implements store.KV. The service does not return the new version, so it costs a write and a read.
func (s *Store) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (uint64, error) {
	body, err := encode(data)
	if err != nil {
		return 0, err
	}
	query := url.Values{"cas": {strconv.FormatUint(version, 10)}}
	swapped, err := s.put(ctx, s.keyPath(key), query, body)
	if err != nil {
		return 0, err
	}
	if !isTrue(swapped) {
		return 0, store.Conflict.New("key %q no longer has version %d", key, version)
	}
	return s.versionAfter(ctx, key, version, data), nil
}

// versionAfter returns the version assigned to a write that took effect. If it cannot determine that version, it returns
// a number above the old version that no other content ever has; see store.KV.
func (s *Store) versionAfter(ctx context.Context, key string, old uint64, data []byte) uint64 {
	found, err := s.Get(ctx, key)
	switch {
	case err != nil || found.Version <= old:
		return old + 1
	case string(found.Data) == string(data):
		return found.Version
	default:
		// Another writer has overwritten the value, so the version of this write is smaller than the one found.
		return found.Version - 1
	}
}

// Wait implements store.KV.
func (s *Store) Wait(ctx context.Context, key string, version uint64) (store.Value, error) {
	wait := DefaultWatch
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	index := version
	if version == 0 {
		// The service does not block on index 0, so read the index at which the key is absent.
		found, err := s.read(ctx, key, consistentRead())
		if err != nil {
			return store.Value{}, err
		}
		if found.ModifyIndex != 0 {
			return found.value()
		}
		index = max(found.readAt, 1)
	}
	found, err := s.read(ctx, key, url.Values{
		"index": {strconv.FormatUint(index, 10)},
		"wait":  {strconv.FormatInt(requestedWait(wait).Milliseconds(), 10) + "ms"},
	})
	if err != nil {
		return store.Value{}, err
	}
	return found.value()
}

// requestedWait leaves the service time to answer before the deadline, since it may wait a sixteenth longer than requested.
func requestedWait(wait time.Duration) time.Duration {
	return max(wait*7/8, time.Millisecond)
}

// item is an element of the answer to a read; the zero item stands for an absent key.
type item struct {
	Value       []byte
	ModifyIndex uint64
	// Session is the session that owns the key, empty if there is none.
	Session string

	// readAt is the index at which an absent key was read; 0 for a present key.
	readAt uint64
}

// value decodes the item; an absent key is the zero Value.
func (i item) value() (store.Value, error) {
	if i.ModifyIndex == 0 {
		return store.Value{}, nil
	}
	data, err := decode(i.Value)
	if err != nil {
		return store.Value{}, err
	}
	return store.Value{Data: data, Version: i.ModifyIndex}, nil
}

func (s *Store) read(ctx context.Context, key string, query url.Values) (item, error) {
	request, err := s.request(ctx, http.MethodGet, s.keyPath(key), query, nil)
	if err != nil {
		return item{}, err
	}
	got, err := exchange(s.reads, request)
	if err != nil {
		return item{}, store.Unavailable.Wrap(err)
	}
	switch got.code {
	case http.StatusNotFound:
		return item{readAt: got.index}, nil
	case http.StatusOK:
		return parseItem(got.body)
	default:
		return item{}, store.Unavailable.New("read answered %s", got.status)
	}
}

// parseItem parses the answer to a read of a key that is present.
func parseItem(body []byte) (item, error) {
	var items []item
	if err := json.Unmarshal(body, &items); err != nil {
		return item{}, Malformed.Wrap(err)
	}
	if len(items) != 1 || items[0].ModifyIndex == 0 {
		return item{}, Malformed.New("answer has %d items, want one with a version", len(items))
	}
	return items[0], nil
}
