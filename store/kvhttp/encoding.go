package kvhttp

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/zeebo/errs"
)

const (
	// MaxValueBytes is the largest encoded value that the service holds.
	MaxValueBytes = 1 << 20
	// maxDecodedBytes bounds what a value may unpack to.
	maxDecodedBytes = 8 << 20
)

// The first byte of a stored value tells how the rest is encoded.
const (
	encodingPlain byte = 0
	encodingGzip  byte = 1
)

// TooLarge means that a value does not fit the service; nothing was written.
var TooLarge = errs.Class("kvhttp: value too large for the service; keep less in one key")

// encode returns the stored form of data: compressed where that is smaller.
func encode(data []byte) ([]byte, error) {
	if len(data) > maxDecodedBytes {
		return nil, TooLarge.New("%d bytes before compression, limit %d", len(data), maxDecodedBytes)
	}
	var packed bytes.Buffer
	packed.WriteByte(encodingGzip)
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(data); err != nil {
		return nil, TooLarge.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, TooLarge.Wrap(err)
	}
	stored := packed.Bytes()
	if len(stored) > len(data) {
		stored = append([]byte{encodingPlain}, data...)
	}
	if len(stored) > MaxValueBytes {
		return nil, TooLarge.New("%d bytes, limit %d", len(stored), MaxValueBytes)
	}
	return stored, nil
}

// decode is the inverse of encode.
func decode(stored []byte) ([]byte, error) {
	if len(stored) == 0 {
		return nil, Malformed.New("empty value without its encoding byte")
	}
	switch stored[0] {
	case encodingPlain:
		return stored[1:], nil
	case encodingGzip:
		return unpack(stored[1:])
	default:
		return nil, Malformed.New("unknown encoding byte %d", stored[0])
	}
}

func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, Malformed.Wrap(err)
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxDecodedBytes+1))
	if err != nil {
		return nil, Malformed.Wrap(err)
	}
	if len(data) > maxDecodedBytes {
		return nil, Malformed.New("value unpacks to more than %d bytes", maxDecodedBytes)
	}
	return data, nil
}
