package poolowner

// listOrder keeps a delayed request of the fleet's owner, or one of a replaced owner, from undoing a later list.
type listOrder struct{ fence, sequence uint64 }

// take reports whether a list is the newest so far.
func (l *listOrder) take(fence, sequence uint64) bool {
	if fence < l.fence || (fence == l.fence && sequence < l.sequence) {
		return false
	}
	l.fence, l.sequence = fence, sequence
	return true
}
