package poolowner

// evacuationOrder rejects evacuation requests that are delayed, or come from a replaced owner of the fleet, so that they
// don't undo a later one.
type evacuationOrder struct{ fleetFence, sequence uint64 }

// advance reports whether a request is not older than the last accepted one, and records it if so.
func (o *evacuationOrder) advance(fleetFence, sequence uint64) bool {
	if fleetFence < o.fleetFence || (fleetFence == o.fleetFence && sequence < o.sequence) {
		return false
	}
	o.fleetFence, o.sequence = fleetFence, sequence
	return true
}
