package jobpeer

import (
	"compress/gzip"
	"io"

	"connectrpc.com/connect"
)

// fastGzip compresses large messages at the least cost in time: a table of queues is text, which shrinks well at any level.
const fastGzip = "gzip"

func newCompressor() connect.Compressor {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant of the package
	}
	return w
}

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

func clientCompression() connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithAcceptCompression(fastGzip, newDecompressor, newCompressor),
		connect.WithSendCompression(fastGzip), connect.WithCompressMinBytes(compressFrom))
}

func serverCompression() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCompression(fastGzip, newDecompressor, newCompressor), connect.WithCompressMinBytes(compressFrom))
}
