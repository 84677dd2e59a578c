package kvhttp

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/zeebo/errs"
)

const (
	// MaxValueBytes is the size limit of the service for an encoded value.
	MaxValueBytes = 1 << 20
	// maxDecodedBytes limits the decompressed size of a value.
	maxDecodedBytes = 8 << 20
)

// The first byte of a stored value is the encoding of the rest.
const (
	encodingPlain byte = 0
	encodingGzip  byte = 1
)

// TooLarge means that a value exceeds a size limit. Nothing was written.
var TooLarge = errs.Class("kvhttp: value too large for the service; store less data under one key")

// encode returns the stored form of data, compressed unless that is larger.
func encode(data []byte) ([]byte, error) {
	if len(data) > maxDecodedBytes {
		return nil, TooLarge.New("%d bytes before compression, limit %d", len(data), maxDecodedBytes)
	}
	var compressed bytes.Buffer
	compressed.WriteByte(encodingGzip)
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(data); err != nil {
		return nil, TooLarge.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, TooLarge.Wrap(err)
	}
	stored := compressed.Bytes()
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
		return decompress(stored[1:])
	default:
		return nil, Malformed.New("unknown encoding byte %d", stored[0])
	}
}

func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, Malformed.Wrap(err)
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxDecodedBytes+1))
	if err != nil {
		return nil, Malformed.Wrap(err)
	}
	if len(data) > maxDecodedBytes {
		return nil, Malformed.New("value decompresses to more than %d bytes", maxDecodedBytes)
	}
	return data, nil
}
