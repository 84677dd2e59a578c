package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/samber/lo"
)

// hopByHop lists the header fields that apply to a single connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// connectionTokens returns the lower-case tokens of the Connection fields.
func connectionTokens(header http.Header) []string {
	tokens := strings.Split(strings.Join(header.Values("Connection"), ","), ",")
	return lo.FilterMap(tokens, func(token string, _ int) (string, bool) {
		token = strings.ToLower(textproto.TrimString(token))
		return token, token != ""
	})
}

// upgradeOf returns the protocol that the header requests an upgrade to, or "".
func upgradeOf(header http.Header) string {
	if !lo.Contains(connectionTokens(header), "upgrade") {
		return ""
	}
	return header.Get("Upgrade")
}

// endToEnd returns a copy of the header without hop-by-hop fields.
func endToEnd(header http.Header) http.Header {
	passed := header.Clone()
	if passed == nil {
		passed = http.Header{}
	}
	for _, token := range connectionTokens(header) {
		passed.Del(token)
	}
	for _, field := range hopByHop {
		passed.Del(field)
	}
	return passed
}

// newOutgoing returns the transport's form of the request.
func newOutgoing(ctx context.Context, target Target, request Request) (*http.Request, error) {
	at, err := url.ParseRequestURI(request.Path)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(request.Path, "/") {
		return nil, fmt.Errorf("path %q does not begin with a slash", request.Path)
	}
	at.Scheme = "http"
	at.Host = target.Address
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, at.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	outgoing.Header = endToEnd(request.Header)
	outgoing.Header.Del("Expect")
	outgoing.Header.Del("Content-Length")
	outgoing.Header.Set(RequestIDHeader, request.RequestID)
	if _, ok := outgoing.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own User-Agent.
		outgoing.Header.Set("User-Agent", "")
	}
	if upgrade := upgradeOf(request.Header); upgrade != "" {
		outgoing.Header.Set("Connection", "Upgrade")
		outgoing.Header.Set("Upgrade", upgrade)
	}
	setBody(outgoing, request)
	return outgoing, nil
}

// setBody sets the body without GetBody, which would allow the transport to send it again.
func setBody(outgoing *http.Request, request Request) {
	outgoing.GetBody = nil
	if request.Body == nil || request.ContentLength == 0 {
		return
	}
	outgoing.Body = io.NopCloser(request.Body)
	outgoing.ContentLength = request.ContentLength
}

// checkResponse returns an error for a response that must not be relayed.
func checkResponse(raw *http.Response, request Request) error {
	if request.Echo && raw.Header.Get(RequestIDHeader) != request.RequestID {
		return fmt.Errorf("the answer is to request %q, not to %q", raw.Header.Get(RequestIDHeader), request.RequestID)
	}
	if raw.StatusCode == http.StatusSwitchingProtocols {
		if upgradeOf(request.Header) == "" {
			return fmt.Errorf("the worker switched protocols without being asked")
		}
		return nil
	}
	// The end of a body that the closing of the connection delimits cannot be distinguished from a truncation.
	if hasBody(raw, request) && raw.ContentLength < 0 && !lo.Contains(raw.TransferEncoding, "chunked") {
		return fmt.Errorf("the answer has neither a length nor chunks; the worker must send one of them")
	}
	return nil
}
