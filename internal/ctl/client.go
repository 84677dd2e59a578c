package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/settings"
)

// Error classes of the tool; docs/OPERATIONS.md lists their exit codes.
var (
	errUsage       = errs.Class("invalid usage")
	errRefused     = errs.Class("refused")
	errConflict    = errs.Class("conflict")
	errUnavailable = errs.Class("unavailable, nothing was changed; try again or another --address")
	errUnknown     = errs.Class("outcome unknown; repeat the command with the same --id, which is not a second change")
	errCancelled   = errs.Class("outcome unknown; repeat the command, which is not a second change")
	errWait        = errs.Class("not reached in time")
)

const (
	// maxAnswerBytes bounds the part of an answer's body that is read.
	maxAnswerBytes = 16 << 20
	callTimeout    = 30 * time.Second
)

// client calls the operator API of one entry host, and falls back to the next address if it cannot connect.
type client struct {
	addresses []string
	token     string
	http      *http.Client
}

func newClient(addresses []string, token string) *client {
	return &client{addresses: addresses, token: token, http: &http.Client{Timeout: callTimeout}}
}

func (c *client) status(ctx context.Context) (operatorapi.Status, error) {
	var out operatorapi.Status
	return out, c.call(ctx, http.MethodGet, "/v1/status", nil, &out)
}

func (c *client) config(ctx context.Context) (operatorapi.ConfigDocument, error) {
	var out operatorapi.ConfigDocument
	return out, c.call(ctx, http.MethodGet, "/v1/config", nil, &out)
}

func (c *client) apply(ctx context.Context, change operatorapi.ConfigChange) (operatorapi.ConfigResult, error) {
	var out operatorapi.ConfigResult
	return out, c.call(ctx, http.MethodPut, "/v1/config", change, &out)
}

func (c *client) order(ctx context.Context, path string, order any) (operatorapi.Accepted, error) {
	var out operatorapi.Accepted
	return out, c.call(ctx, http.MethodPost, path, order, &out)
}

// call sends one request to the first address that accepts a connection.
func (c *client) call(ctx context.Context, method, path string, in, out any) error {
	var payload []byte
	if in != nil {
		var err error
		if payload, err = json.Marshal(in); err != nil {
			return err
		}
	}
	var last error
	for _, address := range c.addresses {
		err := c.callAt(ctx, address, method, path, payload, out)
		var dial *net.OpError
		if err == nil || !errors.As(err, &dial) || dial.Op != "dial" {
			return err
		}
		last = err
	}
	return errUnavailable.Wrap(last)
}

func (c *client) callAt(ctx context.Context, address, method, path string, payload []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(payload))
	if err != nil {
		return errUsage.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return transportError(method, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(resp.StatusCode, data)
	}
	return json.Unmarshal(data, out)
}

// transportError classifies a failed exchange: a read can be repeated, but an order may have taken effect. A failed dial is
// returned unclassified, so that call tries the next address.
func transportError(method string, err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return err
	}
	if method == http.MethodGet {
		return errUnavailable.Wrap(err)
	}
	return errUnknown.Wrap(err)
}

// problem is the API's error document.
type problem struct {
	Detail string `json:"detail"`
	Errors []struct {
		Message  string `json:"message"`
		Location string `json:"location"`
	} `json:"errors"`
}

func responseError(status int, data []byte) error {
	var p problem
	_ = json.Unmarshal(data, &p)
	lines := []string{strings.TrimPrefix(p.Detail, settingsPrefix)}
	for _, e := range p.Errors {
		lines = append(lines, strings.TrimSpace(strings.TrimPrefix(e.Location, "body.")+" "+e.Message))
	}
	text := strings.Join(lines, "\n  ")
	if p.Detail == "" {
		text = "the answer does not come from an agateturn operator API: " + http.StatusText(status) + "; check --address"
	}
	switch status {
	case http.StatusConflict:
		return errConflict.New("%s", text)
	case http.StatusServiceUnavailable:
		return errUnavailable.New("%s", text)
	case http.StatusGatewayTimeout, http.StatusInternalServerError:
		return errUnknown.New("%s", text)
	default:
		return errRefused.New("%s", text)
	}
}

// settingsPrefix is the prefix of errors of the class settings.Invalid. The tool trims it, as its own class "refused"
// already states the rejection.
var settingsPrefix = string(settings.Invalid) + ": "

// refusedSettings returns the tool's error for a file that fails its checks.
func refusedSettings(err error) error {
	return errRefused.New("%s", strings.TrimPrefix(err.Error(), settingsPrefix))
}
