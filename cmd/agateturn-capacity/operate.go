package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"github.com/agateturn/agateturn/internal/operatorapi"
)

const (
	// pollInterval is the interval at which the status is polled while a change is in progress.
	pollInterval = 50 * time.Millisecond
	// conflictRetryDelay is the delay before a change that met a conflict is retried.
	conflictRetryDelay = 200 * time.Millisecond
	// changeTimeout bounds the wait for a change.
	changeTimeout = 60 * time.Second
)

// operator changes a deployment through the operator API of one entry host.
type operator struct {
	address string
	token   string
}

func (o operator) call(ctx context.Context, method, path string, order, answer any) error {
	body, err := call(ctx, method, "http://"+o.address+path, o.token, order)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, answer)
}

func (o operator) status(ctx context.Context) (operatorapi.Status, error) {
	var s operatorapi.Status
	return s, o.call(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// applyChange changes the configuration. It retries after a conflict, as a member that has not received the previous
// change yet rejects the next one.
func (o operator) applyChange(ctx context.Context) (uint64, error) {
	for began := time.Now(); ; {
		generation, err := o.changeConfig(ctx)
		if err == nil || time.Since(began) > changeTimeout || !strings.Contains(err.Error(), "409 Conflict") {
			return generation, err
		}
		if err := sleep(ctx, conflictRetryDelay); err != nil {
			return 0, err
		}
	}
}

// changeConfig changes one number of the configuration in force, and returns the new generation.
func (o operator) changeConfig(ctx context.Context) (uint64, error) {
	var doc operatorapi.ConfigDocument
	if err := o.call(ctx, http.MethodGet, "/v1/config", nil, &doc); err != nil {
		return 0, err
	}
	const before, after = "failure_share = 0.2\n", "failure_share = 0.25\n"
	text := strings.Replace(doc.INI, before, after, 1)
	if text == doc.INI {
		text = strings.Replace(doc.INI, after, before, 1)
	}
	if text == doc.INI {
		return 0, fmt.Errorf("the configuration in force has no failure_share to change")
	}
	var result operatorapi.ConfigResult
	err := o.call(ctx, http.MethodPut, "/v1/config", operatorapi.ConfigChange{
		ChangeID:       uuid.NewString(),
		BaseGeneration: doc.Generation,
		INI:            text,
	}, &result)
	return result.Generation, err
}

// moveHost moves the host to the pool.
func (o operator) moveHost(ctx context.Context, host, pool string) error {
	return o.call(ctx, http.MethodPost, "/v1/hosts/"+host+"/move",
		operatorapi.MoveOrder{Target: pool, OperationID: uuid.NewString()}, &operatorapi.Accepted{})
}

func (o operator) createWave(ctx context.Context, hosts []string) error {
	return o.call(ctx, http.MethodPost, "/v1/waves",
		operatorapi.WaveOrder{Name: "wave-" + uuid.NewString()[:8], Hosts: hosts, OperationID: uuid.NewString()},
		&operatorapi.Accepted{})
}

// await returns the time from began until reached accepts the status.
func (o operator) await(ctx context.Context, began time.Time, reached func(operatorapi.Status) bool) (time.Duration, error) {
	for time.Since(began) < changeTimeout {
		s, err := o.status(ctx)
		if err == nil && reached(s) {
			return time.Since(began), nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("change not observed after %s", changeTimeout)
}

// timeRollOut returns the time from the operator's order until the configuration is in force on every entry host, as the
// queried one observes it.
func (o operator) timeRollOut(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	generation, err := o.applyChange(ctx)
	if err != nil {
		return 0, err
	}
	return o.await(ctx, began, func(s operatorapi.Status) bool {
		return lo.EveryBy(s.Members, func(m operatorapi.MemberStatus) bool { return m.Generation >= generation })
	})
}

// timeMove returns the time from the operator's order until the host has left its old pool: every entry host has released
// it and the second write was made. By then the controller may already have moved it out of the new pool.
func (o operator) timeMove(ctx context.Context, host, pool string) (time.Duration, error) {
	s, err := o.status(ctx)
	if err != nil {
		return 0, err
	}
	old, _ := lo.Find(s.Hosts, func(h operatorapi.HostStatus) bool { return h.Name == host })
	began := time.Now()
	if err := o.moveHost(ctx, host, pool); err != nil {
		return 0, err
	}
	return o.await(ctx, began, func(s operatorapi.Status) bool {
		return lo.SomeBy(s.Hosts, func(h operatorapi.HostStatus) bool {
			return h.Name == host && h.Pool != old.Pool
		})
	})
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
