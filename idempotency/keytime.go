package idempotency

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

// uuidLength is the length of a UUID in its usual text form.
const uuidLength = 36

// keyTime returns the creation time of a key that is a UUID of version 7, and false for other keys.
func keyTime(key string) (time.Time, bool) {
	if len(key) != uuidLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	// The first 48 bits are milliseconds since the Unix epoch.
	ms := binary.BigEndian.Uint64(id[:8]) >> 16
	return time.UnixMilli(int64(ms)), true
}
