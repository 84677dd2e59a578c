package hostlist

import (
	"cmp"
	"encoding/json"
	"slices"
)

// parseHosts reads a host list, merges duplicates and sorts by name.
func parseHosts(body []byte) ([]Host, error) {
	var list HostList
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, Malformed.Wrap(err)
	}
	byName := make(map[string]Host, len(list.Hosts))
	for _, host := range list.Hosts {
		if err := host.Check(); err != nil {
			return nil, err
		}
		if earlier, ok := byName[host.Name]; ok {
			host = merge(earlier, host)
		}
		byName[host.Name] = host
	}
	hosts := make([]Host, 0, len(byName))
	for _, host := range byName {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts, nil
}

// Check returns an error of kind Malformed unless the host has a name, a known role and a known state.
func (h Host) Check() error {
	if h.Name == "" {
		return Malformed.New("a host without a name")
	}
	switch h.State {
	case StateLive, StateLeaving, StateGone:
	default:
		return Malformed.New("host %q has unknown state %q", h.Name, h.State)
	}
	switch h.Role {
	case RoleWorker, RoleEntry:
		return nil
	default:
		return Malformed.New("host %q has unknown role %q", h.Name, h.Role)
	}
}

// merge joins two entries of one host. Where they differ it claims the least: a host listed as live and as gone is
// leaving (no new work, and no proof that it is gone), and an identity that is listed twice is not known.
func merge(a, b Host) Host {
	if a.State != b.State {
		a.State = StateLeaving
	}
	if a.BootID != b.BootID {
		a.BootID = ""
	}
	if a.Incarnation != b.Incarnation {
		a.Incarnation = ""
	}
	return a
}
