package ctl

import (
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/wait"
)

// pollInterval is the interval at which a waiting command polls the status.
const pollInterval = 250 * time.Millisecond

type hostsCmd struct {
	List hostsListCmd `cmd:"" default:"1" help:"List the hosts."`
	Move hostsMoveCmd `cmd:"" help:"Move a host to another pool."`
	Down hostsDownCmd `cmd:"" help:"Take a failed host out of service."`
	Up   hostsUpCmd   `cmd:"" help:"Bring a host back into service."`
}

type hostsListCmd struct {
	Pool string `help:"Only hosts of this pool."`
}

// Run lists the hosts.
func (c *hostsListCmd) Run(e *env) error {
	s, err := e.client.status(e.ctx)
	if err != nil {
		return err
	}
	hosts := lo.Filter(s.Hosts, func(h operatorapi.HostStatus, _ int) bool { return c.Pool == "" || h.Pool == c.Pool })
	return e.print(hosts, "HOST DATA-CENTRE RACK POOL PHASE FOR", hostRows(hosts))
}

// waitFlags holds the flags of commands that can wait until their order has taken effect.
type waitFlags struct {
	Wait time.Duration `help:"Maximum time to wait for the effect; 0 returns once the order is stored." default:"0s"`
	ID   string        `help:"Operation id; use the same id to retry after a lost answer."`
}

type hostsMoveCmd struct {
	waitFlags
	Host string `arg:"" help:"Host to move."`
	Pool string `arg:"" help:"Pool to move it to."`
}

// Run orders the move of the host.
func (c *hostsMoveCmd) Run(e *env) error {
	order := operatorapi.MoveOrder{Target: c.Pool, OperationID: operationID(c.ID)}
	if err := e.order("/v1/hosts/"+url.PathEscape(c.Host)+"/move", order, order.OperationID); err != nil {
		return err
	}
	return e.await(c.Wait, func(s operatorapi.Status) (bool, string) {
		h, _ := lo.Find(s.Hosts, func(h operatorapi.HostStatus) bool { return h.Name == c.Host })
		return h.Pool == c.Pool && h.Phase == "active", hostProgress(h)
	})
}

// hostProgress describes a host's phase, its pool and the entry hosts that block its drain.
func hostProgress(h operatorapi.HostStatus) string {
	text := fmt.Sprintf("%s is %s in %s", h.Name, h.Phase, h.Pool)
	if len(h.HeldBy) > 0 {
		text += ", held by " + holders(h.HeldBy)
	}
	return text
}

type hostsDownCmd struct {
	waitFlags
	Host string `arg:"" help:"Host to take out of service."`
}

// Run takes the host out of service.
func (c *hostsDownCmd) Run(e *env) error { return setDown(e, c.Host, true, c.waitFlags) }

type hostsUpCmd struct {
	waitFlags
	Host string `arg:"" help:"Host to bring back."`
}

// Run brings the host back into service.
func (c *hostsUpCmd) Run(e *env) error { return setDown(e, c.Host, false, c.waitFlags) }

func setDown(e *env, host string, down bool, w waitFlags) error {
	order := operatorapi.DownOrder{Down: down, OperationID: operationID(w.ID)}
	if err := e.order("/v1/hosts/"+url.PathEscape(host)+"/down", order, order.OperationID); err != nil {
		return err
	}
	wanted := lo.Ternary(down, "down", "active")
	return e.await(w.Wait, func(s operatorapi.Status) (bool, string) {
		h, _ := lo.Find(s.Hosts, func(h operatorapi.HostStatus) bool { return h.Name == host })
		return h.Phase == wanted, fmt.Sprintf("%s is %s", host, h.Phase)
	})
}

type wavesCmd struct {
	List   wavesListCmd   `cmd:"" default:"1" help:"List the waves."`
	Create wavesCreateCmd `cmd:"" help:"Create a maintenance wave."`
	Stop   wavesStopCmd   `cmd:"" help:"Stop a wave; hosts in progress finish."`
	Resume wavesResumeCmd `cmd:"" help:"Resume a stopped wave."`
	Cancel wavesCancelCmd `cmd:"" help:"Cancel a wave; hosts in progress finish."`
	Watch  wavesWatchCmd  `cmd:"" help:"Show the progress of a wave until it ends."`
}

type wavesListCmd struct{}

// Run lists the waves.
func (wavesListCmd) Run(e *env) error {
	s, err := e.client.status(e.ctx)
	if err != nil {
		return err
	}
	return e.print(s.Waves, "WAVE PHASE PENDING IN-PROGRESS DONE FAILED REASON",
		lo.Map(s.Waves, func(w operatorapi.WaveStatus, _ int) []string {
			return cells(w.Name, w.Phase, w.Pending, len(w.InProgress), w.Done, len(w.Failed), w.Reason)
		}))
}

type wavesCreateCmd struct {
	waitFlags
	Name  string   `arg:"" help:"Name of the wave."`
	Hosts []string `help:"Hosts to maintain."`
	Pool  string   `help:"Maintain the hosts of this pool; without --hosts and --pool, all."`
}

// Run creates the wave.
func (c *wavesCreateCmd) Run(e *env) error {
	order := operatorapi.WaveOrder{Name: c.Name, Hosts: c.Hosts, Pool: c.Pool, OperationID: operationID(c.ID)}
	if err := e.order("/v1/waves", order, order.OperationID); err != nil {
		return err
	}
	return awaitWave(e, c.Name, c.Wait)
}

type wavesStopCmd struct {
	Name   string `arg:"" help:"Name of the wave."`
	Reason string `help:"Reason for the stop."`
}

// Run stops the wave.
func (c *wavesStopCmd) Run(e *env) error { return controlWave(e, c.Name, "stop", c.Reason) }

type wavesResumeCmd struct {
	Name string `arg:"" help:"Name of the wave."`
}

// Run resumes the wave.
func (c *wavesResumeCmd) Run(e *env) error { return controlWave(e, c.Name, "resume", "") }

type wavesCancelCmd struct {
	Name string `arg:"" help:"Name of the wave."`
}

// Run cancels the wave.
func (c *wavesCancelCmd) Run(e *env) error { return controlWave(e, c.Name, "cancel", "") }

func controlWave(e *env, name, action, reason string) error {
	return e.order("/v1/waves/"+url.PathEscape(name), operatorapi.WaveControl{Action: action, Reason: reason}, "")
}

type wavesWatchCmd struct {
	Name string        `arg:"" help:"Name of the wave."`
	Wait time.Duration `help:"Maximum time to wait." default:"1h"`
}

// Run watches the wave.
func (c *wavesWatchCmd) Run(e *env) error { return awaitWave(e, c.Name, c.Wait) }

func awaitWave(e *env, name string, limit time.Duration) error {
	stopped := ""
	err := e.await(limit, func(s operatorapi.Status) (bool, string) {
		w, ok := lo.Find(s.Waves, func(w operatorapi.WaveStatus) bool { return w.Name == name })
		if !ok {
			return false, "not listed yet"
		}
		if w.Phase == "stopped" {
			stopped = w.Reason
			return true, "stopped: " + w.Reason
		}
		return w.Phase == "done", fmt.Sprintf("%s: %d pending, %d in progress, %d done, %d failed",
			w.Phase, w.Pending, len(w.InProgress), w.Done, len(w.Failed))
	})
	if err == nil && stopped != "" {
		return errRefused.New("wave %s stopped: %s; look into it, then agateturnctl waves resume %s", name, stopped, name)
	}
	return err
}

// order sends an order and prints the fleet revision of its acceptance. Orders without an id are idempotent.
func (e *env) order(path string, order any, id string) error {
	accepted, err := sendWithRetry(e, id, func() (operatorapi.Accepted, error) { return e.client.order(e.ctx, path, order) })
	if err != nil {
		return err
	}
	if e.json {
		return e.print(struct {
			ID string `json:"id,omitempty"`
			operatorapi.Accepted
		}{id, accepted}, "", nil)
	}
	_, err = fmt.Fprintf(e.out, "accepted at fleet revision %d%s\n", accepted.FleetRevision, withID(id))
	return err
}

// sendWithRetry sends an order, and sends it once more if the answer is lost. The same id makes the retry idempotent.
func sendWithRetry[T any](e *env, id string, send func() (T, error)) (T, error) {
	answer, err := send()
	if !errUnknown.Has(err) {
		return answer, err
	}
	_, _ = fmt.Fprintf(e.errOut, "agateturnctl: answer lost; retrying%s\n", withID(id))
	answer, err = send()
	if errUnknown.Has(err) && id != "" {
		err = errUnknown.New("%s%s", strings.TrimPrefix(err.Error(), string(errUnknown)+": "), withID(id))
	}
	return answer, err
}

func withID(id string) string {
	if id == "" {
		return ""
	}
	return " (id " + id + ")"
}

// await polls the status until reached returns true, and prints each change of the progress text.
func (e *env) await(limit time.Duration, reached func(operatorapi.Status) (bool, string)) error {
	if limit <= 0 {
		return nil
	}
	deadline := time.Now().Add(limit)
	shown := ""
	for {
		s, err := e.client.status(e.ctx)
		if errRefused.Has(err) {
			return err // polling again would not help
		}
		text := fmt.Sprint(err)
		if err == nil {
			var done bool
			done, text = reached(s)
			e.showProgress(text, shown)
			if done {
				return nil
			}
		}
		shown = text
		if time.Now().After(deadline) {
			return errWait.New("after %s: %s", limit, text)
		}
		if err := wait.For(e.ctx, pollInterval); err != nil {
			return err
		}
	}
}

// showProgress prints the text if it is new.
func (e *env) showProgress(text, shown string) {
	if text != shown && !e.json {
		_, _ = io.WriteString(e.out, text+"\n")
	}
}
