package hostlist

import (
	"cmp"
	"encoding/json"
	"slices"
)

// parseHosts parses a host list, merges duplicate entries and sorts by name.
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

// Check returns an error of class Malformed unless the host has a name, a known role and a known state.
func (h Host) Check() error {
	if h.Name == "" {
		return Malformed.New("host has no name")
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

// merge combines two entries of the same host conservatively: if the states differ, the host is leaving (it gets no new
// work, but is not proved gone), and a boot id or incarnation that differs is unknown.
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
