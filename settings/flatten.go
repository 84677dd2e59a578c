package settings

import (
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
)

// Entry is one key of one section, as Marshal would write it.
type Entry struct {
	Section string // such as host
	Name    string // such as w1; empty for a section without a name
	Key     string
	Value   string // *** for a secret that is set
}

// Entries lists every key of msg in the order of Marshal.
func Entries(msg proto.Message) []Entry {
	var entries []Entry
	for _, sec := range schemaOf(msg).sections {
		for _, it := range sec.items(msg.ProtoReflect()) {
			for _, k := range sec.keys {
				entries = append(entries, Entry{Section: sec.name, Name: it.name, Key: k.name, Value: k.show(it)})
			}
		}
	}
	return entries
}

// show formats the item's value, without its secret.
func (k *key) show(it item) string {
	value := k.get(it.message)
	if value == nil {
		return ""
	}
	text := format(value)
	return lo.Ternary(k.option.GetSecret() && text != "", redacted, text)
}
