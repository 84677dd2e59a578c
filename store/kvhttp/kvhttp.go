// Package kvhttp is a client of the platform's key-value service over HTTP, in the style of Consul's published protocol.
//
// It implements store.KV and store.Leases. Reads share kept-alive connections. Each write uses a connection of its own,
// once: a transport may by itself replay a request on a reused connection, and a replayed compare-and-swap whose first
// run took effect would look like a conflict.
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

// Malformed means that the service answered with something this client did not write or cannot read.
var Malformed = errs.Class("kvhttp: unreadable answer; check that the prefix is agateturn's own and the service is a key-value store")

const (
	// DefaultTimeout bounds a call other than a watch.
	DefaultTimeout = 2 * time.Second
	// DefaultLeaseTTL is the time after which an unrenewed lease lapses; the service may take up to twice as long.
	DefaultLeaseTTL = 10 * time.Second
	// DefaultWatch is how long Wait waits when its context has no deadline.
	DefaultWatch = 55 * time.Second

	maxAnswerBytes = 4 << 20
	headerIndex    = "X-Consul-Index"
	headerToken    = "X-Consul-Token"
)

// Store is a client of the service. All methods may be called concurrently.
type Store struct {
	// LeaseTTL is the life of a lease without renewal. Set it before the first use.
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

// New returns a client of the service at address (http://ip:port). It puts prefix before each key, sends token with each
// call unless it is empty, and gives each call but a watch the timeout (0: DefaultTimeout).
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

// SetDial has the connections made by dial, which has the form of net.Dialer.DialContext. Call it before the first use.
func (s *Store) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	s.dial = dial
	s.reads.DialContext = dial
}

// Close drops the idle connections.
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

// consistentRead asks for what a quorum of the service confirms: a read-back after a lost answer must not be stale.
func consistentRead() url.Values { return url.Values{"consistent": {""}} }

// CompareAndSwap implements store.KV. The service does not tell the new version, so it costs a write and a read.
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

// versionAfter reads which version a write that took effect got. If it cannot learn that, it returns a number above the
// old version that no other content ever has; see store.KV.
func (s *Store) versionAfter(ctx context.Context, key string, old uint64, data []byte) uint64 {
	found, err := s.Get(ctx, key)
	switch {
	case err != nil || found.Version <= old:
		return old + 1
	case string(found.Data) == string(data):
		return found.Version
	default:
		// Somebody wrote after us, so our version is smaller than the one found.
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
		// The service does not block on index 0: learn the index at which the key is absent.
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
		"wait":  {strconv.FormatInt(askedWait(wait).Milliseconds(), 10) + "ms"},
	})
	if err != nil {
		return store.Value{}, err
	}
	return found.value()
}

// askedWait leaves the service time to answer before the deadline; it may wait a sixteenth longer than asked.
func askedWait(wait time.Duration) time.Duration {
	return max(wait*7/8, time.Millisecond)
}

// item is one element of the answer to a read; the zero item is an absent key.
type item struct {
	Value       []byte
	ModifyIndex uint64
	// Session owns the key; empty for none.
	Session string

	// readAt is the index at which the key was read.
	readAt uint64
}

// value unpacks the item.
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

// parseItem reads the body of an answer to a read of one present key.
func parseItem(body []byte) (item, error) {
	var items []item
	if err := json.Unmarshal(body, &items); err != nil {
		return item{}, Malformed.Wrap(err)
	}
	if len(items) != 1 || items[0].ModifyIndex == 0 {
		return item{}, Malformed.New("the answer holds %d items or no version", len(items))
	}
	return items[0], nil
}
