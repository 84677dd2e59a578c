package ctl

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/internal/operatorapi"
)

// print writes the value as JSON, or the rows as a table.
func (e *env) print(value any, header string, rows [][]string) error {
	if e.json {
		encoder := json.NewEncoder(e.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

type statusCmd struct {
	Members int           `help:"With --wait: the number of entry hosts that must be ready." default:"1"`
	Wait    time.Duration `help:"Wait this long until --members entry hosts are ready." default:"0s"`
}

// Run prints the entry hosts, then the hosts that are not active and the entry hosts that block their drain.
func (c *statusCmd) Run(e *env) error {
	err := e.await(c.Wait, func(s operatorapi.Status) (bool, string) {
		ready := lo.CountBy(s.Members, func(m operatorapi.MemberStatus) bool { return m.Ready })
		return ready >= c.Members, fmt.Sprintf("%d of %d entry hosts ready", ready, c.Members)
	})
	if err != nil {
		return err
	}
	s, err := e.client.status(e.ctx)
	if err != nil {
		return err
	}
	if e.json {
		return e.print(s, "", nil)
	}
	_, _ = fmt.Fprintf(e.out, "entry host %s: %s; controller %s, fleet revision %d, configuration generation %d, store last answered %s ago\n\n",
		s.EntryHost, readiness(s), controllerName(s), s.FleetRevision, s.Generation, formatAge(s.StoreAgeMS))
	if err := e.print(nil, "ENTRY-HOST DATA-CENTRE READY FLEET CONFIG HEARD", memberRows(s)); err != nil {
		return err
	}
	inactive := lo.Filter(s.Hosts, func(h operatorapi.HostStatus, _ int) bool { return h.Phase != "active" })
	if len(inactive) == 0 {
		return nil
	}
	_, _ = fmt.Fprintln(e.out)
	return e.print(nil, "HOST PHASE FOR HELD-BY", lo.Map(inactive, func(h operatorapi.HostStatus, _ int) []string {
		return []string{h.Name, h.Phase, purpose(h), holders(h.HeldBy)}
	}))
}

// controllerName returns the controller's entry host, without the part that identifies its process.
func controllerName(s operatorapi.Status) string {
	name, _, _ := strings.Cut(s.Controller, "/")
	return lo.Ternary(name == "", "none yet", name)
}

func readiness(s operatorapi.Status) string {
	if s.Ready {
		return "ready"
	}
	return "not ready (" + s.NotReady + ")"
}

func memberRows(s operatorapi.Status) [][]string {
	return lo.Map(s.Members, func(m operatorapi.MemberStatus, _ int) []string {
		state := fmt.Sprint(m.Ready)
		if m.Leaving {
			state = "leaving"
		}
		return []string{
			m.Name, m.DataCentre, state,
			withLag(m.FleetRevision, s.FleetRevision), withLag(m.Generation, s.Generation), formatAge(m.HeardMSAgo),
		}
	})
}

// withLag formats a member's revision, with its distance from that of the entry host that answered.
func withLag(revision, current uint64) string {
	if revision < current {
		return fmt.Sprintf("%d (%d behind)", revision, current-revision)
	}
	return fmt.Sprint(revision)
}

func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Truncate(10 * time.Millisecond).String()
}

func purpose(h operatorapi.HostStatus) string {
	if h.TargetPool != "" {
		return "move to " + h.TargetPool
	}
	if h.Wave != "" {
		return "wave " + h.Wave
	}
	return h.Purpose
}

func holders(held []operatorapi.HolderStatus) string {
	if len(held) == 0 {
		return "nobody"
	}
	return strings.Join(lo.Map(held, func(h operatorapi.HolderStatus, _ int) string {
		if h.Lagging {
			return h.Member + " (has not applied the drain)"
		}
		return fmt.Sprintf("%s (%d requests, oldest %s)", h.Member, h.Requests, formatAge(h.OldestMS))
	}), ", ")
}

type poolsCmd struct{}

// Run lists the pools.
func (poolsCmd) Run(e *env) error {
	s, err := e.client.status(e.ctx)
	if err != nil {
		return err
	}
	return e.print(s.Pools, "POOL HOSTS ACTIVE SLOTS RUNNING QUEUED",
		lo.Map(s.Pools, func(p operatorapi.PoolStatus, _ int) []string {
			return cells(p.Name, p.Hosts, p.Active, p.Slots, p.Running, p.Queued)
		}))
}

type servicesCmd struct{}

// Run lists the latencies and outcomes.
func (servicesCmd) Run(e *env) error {
	s, err := e.client.status(e.ctx)
	if err != nil {
		return err
	}
	return e.print(s.Latencies, "SERVICE TEAM CLASS COUNT DONE NOT-RUN UNKNOWN P50 P90 P99",
		lo.Map(s.Latencies, func(l operatorapi.Latency, _ int) []string {
			return cells(l.Service, l.Team, l.Class, l.Count,
				l.Outcomes["done"], l.Outcomes["not-run"], l.Outcomes["unknown"], formatMillis(l.P50), formatMillis(l.P90), formatMillis(l.P99))
		}))
}

type measuresCmd struct{}

// Run prints the three measures of the deployment.
func (measuresCmd) Run(e *env) error {
	s, err := e.client.status(e.ctx)
	if err != nil {
		return err
	}
	m := s.Measures
	return e.print(m, "MEASURE VALUE", [][]string{
		cells("buffer (host hours)", fmt.Sprintf("%.3f", m.BufferHostSeconds/time.Hour.Seconds())),
		cells("roll-out (s, mean)", fmt.Sprintf("%.3f over %d", m.RollOutSeconds, m.RollOuts)),
		cells("moves", m.Moves),
	})
}

func formatMillis(v float64) string { return fmt.Sprintf("%.1fms", v) }

func cells(values ...any) []string {
	return lo.Map(values, func(v any, _ int) string { return fmt.Sprint(v) })
}

func hostRows(hosts []operatorapi.HostStatus) [][]string {
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return lo.Map(hosts, func(h operatorapi.HostStatus, _ int) []string {
		return cells(h.Name, h.DataCentre, h.Rack, h.Pool, h.Phase, purpose(h))
	})
}
