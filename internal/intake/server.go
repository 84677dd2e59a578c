package intake

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// attach makes the server tell the connections where headers begin and end.
func (l *listener) attach(server *http.Server) {
	state, connContext, handler := server.ConnState, server.ConnContext, server.Handler
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if own := find(c); own != nil {
			switch s {
			case http.StateIdle:
				own.beginHeader()
			case http.StateActive:
				own.stopCounting()
			case http.StateNew, http.StateHijacked, http.StateClosed:
			}
		}
		if state != nil {
			state(c, s)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, find(c))
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && c != nil && !c.endHeader(r) {
			l.options.RejectFull(w, r)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// find returns the connection of this package below the wrappers that other listeners have added; nil if there is none.
func find(c net.Conn) *conn {
	for {
		if own, ok := c.(*conn); ok {
			return own
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}
