// Package meterconn counts the bytes that pass through connections.
package meterconn

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
)

// Meter counts bytes in both directions. It is safe for concurrent use if its counters are.
type Meter struct {
	Sent     metrics.Counter
	Received metrics.Counter
}

// Dial has the signature of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a Dial whose connections are counted.
func (m Meter) Dialer(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: inner, meter: m}, nil
	}
}

// Listener returns a listener whose connections are counted.
func (m Meter) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, meter: m}
}

type listener struct {
	net.Listener
	meter Meter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: inner, meter: l.meter}, nil
}

type conn struct {
	net.Conn
	meter Meter
}

// NetConn returns the connection that this one wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meter.Received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meter.Sent.Inc(int64(n))
	return n, err
}
