package settings

import (
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
)

// Entry is one key of one section in the notation of Marshal.
type Entry struct {
	Section string // section type, such as host
	Name    string // name of the section, such as w1; empty if it has none
	Key     string
	Value   string // *** for a secret that is set
}

// Entries returns every key of msg in the order of Marshal.
func Entries(msg proto.Message) []Entry {
	var entries []Entry
	for _, sec := range schemaOf(msg).sections {
		for _, it := range sec.items(msg.ProtoReflect()) {
			for _, k := range sec.keys {
				entries = append(entries, Entry{Section: sec.name, Name: it.name, Key: k.name, Value: k.formatRedacted(it)})
			}
		}
	}
	return entries
}

// formatRedacted formats the value of the key in the item and replaces a secret that is set.
func (k *key) formatRedacted(it item) string {
	value := k.get(it.message)
	if value == nil {
		return ""
	}
	text := format(value)
	return lo.Ternary(k.option.GetSecret() && text != "", redacted, text)
}
