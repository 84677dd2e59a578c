// Package hostlist is a client of the platform's host list and host actions, JSON over HTTP.
//
//	GET  /v1/hosts                   {"hosts":[{"name","role","state","boot_id","incarnation"}]}
//	POST /v1/hosts/NAME/reboot       {"operation_id"}
//	POST /v1/hosts/NAME/checkpoint   {"operation_id"}
package hostlist

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error classes. Their messages name the remedy.
var (
	// Unavailable means that no usable answer arrived; an action may have started.
	Unavailable = errs.Class("platform: no answer; repeat with the same operation id")
	// Refused means that the platform rejected the request.
	Refused = errs.Class("platform: request refused; check the host's name and that it is listed")
	// Malformed means that the answer cannot be parsed.
	Malformed = errs.Class("platform: malformed answer; check the platform's address")
)

// Role is the purpose of a host.
type Role string

// Host roles.
const (
	RoleWorker Role = "worker"
	RoleEntry  Role = "entry"
)

// State is the state of a host as the platform reports it. It lags behind the actual state.
type State string

// Host states.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// Host is an entry of the host list.
type Host struct {
	Name  string `json:"name"`
	Role  Role   `json:"role"`
	State State  `json:"state"`
	// BootID changes with each boot of the host; empty if the platform does not report it or reports several.
	BootID string `json:"boot_id"`
	// Incarnation identifies the process of an entry host; empty for workers, and like BootID if unknown.
	Incarnation string `json:"incarnation,omitempty"`
}

// HostList is the body of the answer to a read of the host list.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// Order is the request body of an action on a host.
type Order struct {
	// OperationID makes a repeated order idempotent.
	OperationID string `json:"operation_id"`
}

const (
	// DefaultTimeout is the timeout of a call.
	DefaultTimeout = 5 * time.Second
	maxAnswerBytes = 8 << 20
)

// Client calls the platform. All methods are safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client of the platform at baseURL (http://ip:port) with a timeout for each call (0: DefaultTimeout).
func New(baseURL string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Client{
		baseURL: strings.TrimRight(baseURL, "/"),
		http:    &http.Client{Timeout: timeout, Transport: &http.Transport{}},
	}
}

// SetDial sets the function that opens connections, in place of net.Dialer.DialContext. Call it before the first use.
func (c *Client) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.http.Transport = &http.Transport{DialContext: dial}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Hosts returns the host list, sorted by name, with one entry per host. The list lags behind the actual states.
// Errors: Unavailable, Refused, Malformed.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	body, err := c.call(ctx, http.MethodGet, "/v1/hosts", nil)
	if err != nil {
		return nil, err
	}
	return parseHosts(body)
}

// Reboot asks the platform to reboot the host. It is idempotent for the same operationID.
// Errors: Unavailable (retry with the same operationID), Refused, Malformed (the action may have started).
func (c *Client) Reboot(ctx context.Context, host, operationID string) error {
	return c.act(ctx, host, "reboot", operationID)
}

// Checkpoint asks the platform to checkpoint the tasks leased on the host. It is idempotent for the same operationID.
// Errors: Unavailable (retry with the same operationID), Refused, Malformed (the action may have started).
func (c *Client) Checkpoint(ctx context.Context, host, operationID string) error {
	return c.act(ctx, host, "checkpoint", operationID)
}

func (c *Client) act(ctx context.Context, host, action, operationID string) error {
	body, err := json.Marshal(Order{OperationID: operationID})
	if err != nil {
		return Refused.Wrap(err)
	}
	_, err = c.call(ctx, http.MethodPost, "/v1/hosts/"+url.PathEscape(host)+"/"+action, body)
	return err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, Refused.Wrap(err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, Unavailable.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, Unavailable.Wrap(err)
	}
	if len(answer) > maxAnswerBytes {
		return nil, Malformed.New("answer longer than %d bytes", maxAnswerBytes)
	}
	return answer, statusError(response)
}

func statusError(response *http.Response) error {
	switch code := response.StatusCode; {
	case code >= http.StatusOK && code < http.StatusMultipleChoices:
		return nil
	case code >= http.StatusInternalServerError, code == http.StatusTooManyRequests, code == http.StatusRequestTimeout:
		return Unavailable.New("%s %s answered %s", response.Request.Method, response.Request.URL.Path, response.Status)
	default:
		return Refused.New("%s %s answered %s", response.Request.Method, response.Request.URL.Path, response.Status)
	}
}
