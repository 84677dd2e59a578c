package kvhttp

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"

	"github.com/agateturn/agateturn/store"
)

// sessionRequest is the body of a request to create a session.
type sessionRequest struct {
	Name      string
	TTL       string
	Behavior  string
	LockDelay string
}

// Acquire implements store.Leases. If the key is held, a single read is the only call.
func (s *Store) Acquire(ctx context.Context, key, holder string) (store.Lease, error) {
	if err := s.errIfHeld(ctx, key); err != nil {
		return nil, err
	}
	id, err := s.createSession(ctx, holder)
	if err != nil {
		return nil, err
	}
	held := &lease{store: s, session: id}
	if err := s.acquire(ctx, key, holder, id); err != nil {
		// The session expires even if the release fails; the release only frees the key earlier if the session holds it.
		_ = held.Release(ctx)
		return nil, err
	}
	return held, nil
}

func (s *Store) errIfHeld(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	current, err := s.read(ctx, key, consistentRead())
	if err != nil {
		return err
	}
	if current.Session == "" {
		return nil // absent, or without an owner
	}
	holder, err := current.value()
	if err != nil {
		return err
	}
	return store.Conflict.New("key %q is held by %q", key, holder.Data)
}

func (s *Store) createSession(ctx context.Context, holder string) (string, error) {
	request, err := json.Marshal(sessionRequest{Name: holder, TTL: s.LeaseTTL.String(), Behavior: "delete", LockDelay: "0s"})
	if err != nil {
		return "", store.Unavailable.Wrap(err)
	}
	body, err := s.put(ctx, "/v1/session/create", nil, request)
	if store.Unknown.Has(err) {
		// The service may have created a session, but it holds no key and expires: the caller can retry.
		return "", store.Unavailable.New("session creation failed: %v", err)
	}
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	if err := json.Unmarshal(body, &created); err != nil || created.ID == "" {
		return "", Malformed.New("answer to session creation has no session id: %v", err)
	}
	return created.ID, nil
}

func (s *Store) acquire(ctx context.Context, key, holder, session string) error {
	body, err := encode([]byte(holder))
	if err != nil {
		return err
	}
	acquired, err := s.put(ctx, s.keyPath(key), url.Values{"acquire": {session}}, body)
	if err != nil {
		return err
	}
	if !isTrue(acquired) {
		return store.Conflict.New("key %q was acquired by another holder in the meantime", key)
	}
	return nil
}

type lease struct {
	store   *Store
	session string
}

// Renew implements store.Lease.
func (l *lease) Renew(ctx context.Context) error {
	_, err := l.store.put(ctx, "/v1/session/renew/"+url.PathEscape(l.session), nil, nil)
	switch {
	case errors.Is(err, errNotFound):
		return store.LeaseLost.New("session %q no longer exists", l.session)
	case store.Unknown.Has(err):
		return store.Unavailable.New("renewal: %v", err)
	default:
		return err
	}
}

// Release implements store.Lease.
func (l *lease) Release(ctx context.Context) error {
	_, err := l.store.put(ctx, "/v1/session/destroy/"+url.PathEscape(l.session), nil, nil)
	return err
}
