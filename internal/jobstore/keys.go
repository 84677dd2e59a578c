package jobstore

import (
	"context"
	"sync"

	"github.com/agateturn/agateturn/store"
)

// progressKeys are the versions of the progress keys of the pools that this host owns or owned.
type progressKeys struct {
	mu    sync.Mutex
	pools map[string]*poolKeys
}

// poolKeys are the versions of one pool's progress keys; whoever holds turn may use them. A key without a version is
// absent.
type poolKeys struct {
	turn     chan struct{}
	versions map[string]uint64
}

func (k *poolKeys) unlock() { <-k.turn }

func (p *progressKeys) pool(name string) *poolKeys {
	p.mu.Lock()
	defer p.mu.Unlock()
	k, ok := p.pools[name]
	if !ok {
		k = &poolKeys{turn: make(chan struct{}, 1), versions: make(map[string]uint64)}
		p.pools[name] = k
	}
	return k
}

// lock waits for the pool's turn. It returns store.Unavailable if ctx ends first.
func (p *progressKeys) lock(ctx context.Context, pool string) (*poolKeys, error) {
	k := p.pool(pool)
	select {
	case k.turn <- struct{}{}:
		return k, nil
	case <-ctx.Done():
		return nil, store.Unavailable.Wrap(ctx.Err())
	}
}

// reset begins anew from what the store has. Calls of an earlier tenure that are still under way are fenced.
func (p *progressKeys) reset(pool string, items []store.Item) {
	versions := make(map[string]uint64, len(items))
	for _, i := range items {
		versions[i.Key] = i.Version
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools[pool] = &poolKeys{turn: make(chan struct{}, 1), versions: versions}
}
