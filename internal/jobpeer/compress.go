package jobpeer

import (
	"compress/gzip"
	"io"

	"connectrpc.com/connect"
)

// fastGzip is the compression of large messages. It favours speed: tables of queues are text, which compresses well at any
// level.
const fastGzip = "gzip"

func newCompressor() connect.Compressor {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // cannot happen: the level is valid
	}
	return w
}

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

func clientCompression() connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithAcceptCompression(fastGzip, newDecompressor, newCompressor),
		connect.WithSendCompression(fastGzip), connect.WithCompressMinBytes(minCompressBytes))
}

func serverCompression() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCompression(fastGzip, newDecompressor, newCompressor), connect.WithCompressMinBytes(minCompressBytes))
}
