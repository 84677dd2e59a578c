package kvhttp

import (
	"bytes"
	"crypto/sha256"
	"testing"

	"gotest.tools/v3/assert"
)

func FuzzEncode(f *testing.F) {
	f.Add([]byte(nil))
	f.Add(bytes.Repeat([]byte("host "), 100))
	f.Fuzz(func(t *testing.T, data []byte) {
		stored, err := encode(data)
		assert.NilError(t, err)
		assert.Assert(t, len(stored) <= len(data)+1)
		back, err := decode(stored)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(back, data))
	})
}

func FuzzParseItem(f *testing.F) {
	f.Add([]byte(`[{"Key":"a","Value":"AGE=","ModifyIndex":7}]`))
	f.Add([]byte(`[{"Value":"AR+LCAA=","ModifyIndex":7}]`))
	f.Add([]byte(`[{"Value":null}]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		found, err := parseItem(body)
		if err != nil {
			assert.Assert(t, Malformed.Has(err))
			return
		}
		value, err := found.value()
		if err != nil {
			assert.Assert(t, Malformed.Has(err))
			return
		}
		assert.Assert(t, value.Version != 0)
		assert.Assert(t, len(value.Data) <= maxDecodedBytes)
	})
}

func TestEncodeRejectsLargeValues(t *testing.T) {
	data := make([]byte, 0, MaxValueBytes+sha256.Size)
	for sum := sha256.Sum256(nil); len(data) <= MaxValueBytes; sum = sha256.Sum256(sum[:]) {
		data = append(data, sum[:]...) // does not compress
	}
	_, err := encode(data)
	assert.Assert(t, TooLarge.Has(err), "%v", err)
	// The decompressed size is limited as well, up to and including maxDecodedBytes.
	bomb, err := encode(make([]byte, maxDecodedBytes))
	assert.NilError(t, err)
	_, err = decode(bomb)
	assert.NilError(t, err)
	_, err = encode(make([]byte, maxDecodedBytes+1))
	assert.Assert(t, TooLarge.Has(err), "%v", err)
}
