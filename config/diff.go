package config

import (
	"fmt"
	"strings"

	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
)

// ChangeKind is the kind of a Change.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations. An added or removed item has no Key.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Section string     `json:"section"`
	Name    string     `json:"name,omitempty"`
	Key     string     `json:"key,omitempty"`
	Old     string     `json:"old,omitempty"`
	New     string     `json:"new,omitempty"`
}

// String returns one line such as "host w1: pool changed from a to b".
func (c Change) String() string {
	subject := strings.TrimSpace(strings.ReplaceAll(c.Section, "_", " ") + " " + c.Name)
	if c.Key == "" {
		return fmt.Sprintf("%s %s", subject, c.Kind)
	}
	return fmt.Sprintf("%s: %s changed from %s to %s", subject, c.Key, orNothing(c.Old), orNothing(c.New))
}

func orNothing(value string) string {
	return lo.Ternary(value == "", "nothing", value)
}

// itemID identifies an item of a configuration.
type itemID struct{ section, name string }

// Diff returns the changes from old to updated: first the removed items in the order of old, then the added items and
// the changed keys in the order of updated. It ignores the order of items and the generation. Either may be nil.
func Diff(old, updated *pb.Configuration) []Change {
	before, after := entriesOf(old), entriesOf(updated)
	changes := missingItems(before, after, Removed)
	changes = append(changes, missingItems(after, before, Added)...)
	return append(changes, changedKeys(before, after)...)
}

func entriesOf(cfg *pb.Configuration) []settings.Entry {
	if cfg == nil {
		return nil
	}
	return settings.Entries(cfg)
}

func idOf(e settings.Entry) itemID {
	return itemID{e.Section, e.Name}
}

// missingItems returns a change for each of the items that other lacks.
func missingItems(items, other []settings.Entry, kind ChangeKind) []Change {
	known := lo.SliceToMap(other, func(e settings.Entry) (itemID, bool) { return idOf(e), true })
	ids := lo.Uniq(lo.Map(items, func(e settings.Entry, _ int) itemID { return idOf(e) }))
	missing := lo.Reject(ids, func(id itemID, _ int) bool { return known[id] })
	return lo.Map(missing, func(id itemID, _ int) Change {
		return Change{Kind: kind, Section: id.section, Name: id.name}
	})
}

func changedKeys(before, after []settings.Entry) []Change {
	type keyID struct {
		itemID
		key string
	}
	old := lo.SliceToMap(before, func(e settings.Entry) (keyID, string) { return keyID{idOf(e), e.Key}, e.Value })
	var changes []Change
	for _, e := range after {
		value, known := old[keyID{idOf(e), e.Key}]
		if known && value != e.Value {
			changes = append(changes, Change{Kind: Changed, Section: e.Section, Name: e.Name, Key: e.Key, Old: value, New: e.Value})
		}
	}
	return changes
}
