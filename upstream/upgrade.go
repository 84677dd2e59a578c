package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

var errNoUpgrade = errors.New("the connection cannot be upgraded")

// writeCloser is a connection whose write side can be closed on its own.
type writeCloser interface{ CloseWrite() error }

// relayUpgraded hijacks the caller's connection and copies in both directions until each side has closed its direction.
func relayUpgraded(w http.ResponseWriter, resp *Response) (*pb.Outcome, error) {
	worker, ok := resp.raw.Body.(io.ReadWriteCloser)
	if !ok {
		return resp.Outcome(), Aborted.Wrap(errNoUpgrade)
	}
	caller, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return resp.Outcome(), Aborted.Wrap(err)
	}
	defer func() { _ = caller.Close() }()
	if err := writeSwitchingProtocols(buffered.Writer, resp); err != nil {
		return resp.Outcome(), Aborted.Wrap(err)
	}
	// After the buffered bytes, read from the connection itself: an EOF in the server's reader would cancel the
	// request's context and so end the direction that is still open.
	fromCaller := io.MultiReader(io.LimitReader(buffered.Reader, int64(buffered.Reader.Buffered())), caller)
	if err := copyBoth(caller, fromCaller, worker, resp.ex.conn.Conn); err != nil {
		return resp.Outcome(), Aborted.Wrap(err)
	}
	resp.setComplete()
	return resp.Outcome(), nil
}

// writeSwitchingProtocols writes the status line and header of the worker's 101 response.
func writeSwitchingProtocols(w *bufio.Writer, resp *Response) error {
	header := resp.Header.Clone()
	header.Set("Connection", "Upgrade")
	header.Set("Upgrade", resp.upgrade)
	head := http.Response{StatusCode: resp.Status, ProtoMajor: 1, ProtoMinor: 1, Header: header}
	if err := head.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// copyBoth copies in both directions. The end of one direction is propagated and leaves the other open; an error ends both.
func copyBoth(caller net.Conn, fromCaller io.Reader, worker io.ReadWriter, workerConn net.Conn) error {
	ended := make(chan error, 2)
	go func() { ended <- copyOneWay(workerConn, worker, fromCaller) }()
	go func() { ended <- copyOneWay(caller, caller, worker) }()
	first := <-ended
	if first != nil {
		_ = caller.Close()
		_ = workerConn.Close()
	}
	return errors.Join(first, <-ended)
}

// copyOneWay copies until the source ends and then closes the write side of the destination, or the whole connection if its
// write side cannot be closed on its own.
func copyOneWay(conn net.Conn, to io.Writer, from io.Reader) error {
	if _, err := io.Copy(to, from); err != nil {
		return err
	}
	if half, ok := conn.(writeCloser); ok {
		return half.CloseWrite()
	}
	return conn.Close()
}
