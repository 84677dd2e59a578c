package scheduler

const (
	// incarnationBits is the number of low bits of a worker's fence that count incarnations; the bits above hold Config.Fence.
	incarnationBits = 20
	maxIncarnations = 1<<incarnationBits - 1
)

// fenceFor returns the fencing token of calls to the worker. A call may be carried out by a later incarnation under the same id,
// which has seen no fence. The token therefore rises with each end of an incarnation: from the first call with the new token on, the
// worker rejects all calls that were meant for an earlier one.
func (p *Pool) fenceFor(w *worker) uint64 { return p.cfg.Fence<<incarnationBits | w.incarnation }

// raiseFence makes the fence of the worker higher than that of any call sent to its id in this term. The count is that of the pool,
// so that it does not begin anew for a worker that was dropped and is listed again.
func (p *Pool) raiseFence(w *worker) {
	p.incarnations = min(p.incarnations+1, maxIncarnations)
	w.incarnation = p.incarnations
}

// isCurrentFence reports whether a call with this fence was sent to the present incarnation, as far as is known. A worker rejects
// earlier calls because of this owner's own later ones.
func (p *Pool) isCurrentFence(w *worker, fence uint64) bool { return fence >= p.fenceFor(w) }

// Fenced reports whether a worker has seen the fence of a later owner.
func (p *Pool) Fenced() bool { return p.fenced }
