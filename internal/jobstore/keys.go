package jobstore

import (
	"context"
	"sync"

	"github.com/agateturn/agateturn/store"
)

// progressKeys holds the versions of the progress keys of the pools that this host owns or has owned.
type progressKeys struct {
	mu    sync.Mutex
	pools map[string]*poolKeys
}

// poolKeys holds the versions of one pool's progress keys. They are used only while sem is held; it is a channel so that
// waiting for it can end with a context. A key without a version is absent from the store.
type poolKeys struct {
	sem      chan struct{}
	versions map[string]uint64
}

func (k *poolKeys) unlock() { <-k.sem }

func (p *progressKeys) pool(name string) *poolKeys {
	p.mu.Lock()
	defer p.mu.Unlock()
	k, ok := p.pools[name]
	if !ok {
		k = &poolKeys{sem: make(chan struct{}, 1), versions: make(map[string]uint64)}
		p.pools[name] = k
	}
	return k
}

// lock acquires the pool's keys. It returns store.Unavailable if ctx ends first.
func (p *progressKeys) lock(ctx context.Context, pool string) (*poolKeys, error) {
	k := p.pool(pool)
	select {
	case k.sem <- struct{}{}:
		return k, nil
	case <-ctx.Done():
		return nil, store.Unavailable.Wrap(ctx.Err())
	}
}

// reset replaces the versions by those of items. Calls of a previous ownership that are still in flight are fenced by the
// owner key's condition.
func (p *progressKeys) reset(pool string, items []store.Item) {
	versions := make(map[string]uint64, len(items))
	for _, i := range items {
		versions[i.Key] = i.Version
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools[pool] = &poolKeys{sem: make(chan struct{}, 1), versions: versions}
}
