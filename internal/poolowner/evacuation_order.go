package poolowner

// evacuationOrder rejects evacuation requests that are delayed, or come from a replaced owner of the fleet, so that they
// don't undo a later one.
type evacuationOrder struct{ fence, sequence uint64 }

// advance reports whether a request is not older than the last accepted one, and records it if so.
func (o *evacuationOrder) advance(fence, sequence uint64) bool {
	if fence < o.fence || (fence == o.fence && sequence < o.sequence) {
		return false
	}
	o.fence, o.sequence = fence, sequence
	return true
}
