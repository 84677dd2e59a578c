package jobkeys_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/agateturn/agateturn/internal/jobkeys"
)

func TestKeysRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringN(1, 20, 60)
		pool, other, id := name.Draw(t, "pool"), name.Draw(t, "other"), name.Draw(t, "id")
		kind, got := jobkeys.ParseMembership(jobkeys.Owner(pool))
		assert.Equal(t, kind, jobkeys.OwnerKey)
		assert.Equal(t, got, pool)
		kind, got = jobkeys.ParseMembership(jobkeys.Member(id))
		assert.Equal(t, kind, jobkeys.MemberKey)
		assert.Equal(t, got, id)
		for _, cancel := range []bool{false, true} {
			key := jobkeys.Job(pool, id)
			if cancel {
				key = jobkeys.Cancel(pool, id)
			}
			gotID, gotCancel, ok := jobkeys.ParseIncoming(pool, key)
			assert.Assert(t, ok)
			assert.Equal(t, gotID, id)
			assert.Equal(t, gotCancel, cancel)
			assert.Equal(t, strings.HasPrefix(key, jobkeys.IncomingPrefix(other)), pool == other)
		}
	})
}
