package settings

import (
	"slices"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// schema holds the sections of one file, in the order of the message fields.
type schema struct {
	sections []*section
}

// section is one message field that is written as a section.
type section struct {
	name  string
	doc   string
	field protoreflect.FieldDescriptor
	keys  []*key
}

// key is one scalar field of a section.
type key struct {
	name   string
	option *pb.Key
	field  protoreflect.FieldDescriptor
}

func schemaOf(msg proto.Message) *schema {
	fields := msg.ProtoReflect().Descriptor().Fields()
	s := &schema{}
	for i := range fields.Len() {
		if sec := sectionOf(fields.Get(i)); sec != nil {
			s.sections = append(s.sections, sec)
		}
	}
	return s
}

func sectionOf(field protoreflect.FieldDescriptor) *section {
	if field.Message() == nil {
		return nil
	}
	option, _ := proto.GetExtension(field.Message().Options(), pb.E_Section).(*pb.Section)
	if option == nil {
		return nil
	}
	sec := &section{name: option.GetName(), doc: option.GetDoc(), field: field}
	fields := field.Message().Fields()
	for i := range fields.Len() {
		if k := keyOf(fields.Get(i)); k != nil {
			sec.keys = append(sec.keys, k)
		}
	}
	return sec
}

func keyOf(field protoreflect.FieldDescriptor) *key {
	option, _ := proto.GetExtension(field.Options(), pb.E_Key).(*pb.Key)
	if option.GetHidden() {
		return nil
	}
	return &key{name: string(field.Name()), option: option, field: field}
}

func (s *schema) section(name string) *section {
	sec, _ := lo.Find(s.sections, func(sec *section) bool { return sec.name == name })
	return sec
}

func (s *schema) sectionNames() []string {
	return lo.Map(s.sections, func(sec *section, _ int) string { return sec.name })
}

// sectionWithKey returns the name of a section that has the key, or "".
func (s *schema) sectionWithKey(name string) string {
	sec, found := lo.Find(s.sections, func(sec *section) bool { return sec.key(name) != nil })
	return lo.Ternary(found, lo.FromPtr(sec).name, "")
}

// named reports whether the section is repeated and written as [section "name"].
func (sec *section) named() bool {
	return sec.field.IsList()
}

func (sec *section) key(name string) *key {
	k, _ := lo.Find(sec.keys, func(k *key) bool { return k.name == name })
	return k
}

func (sec *section) keyNames() []string {
	return lo.Map(sec.keys, func(k *key, _ int) string { return k.name })
}

func (sec *section) hasRequired() bool {
	return slices.ContainsFunc(sec.keys, func(k *key) bool { return k.option.GetRequired() })
}

// nameField returns the field that holds the name of a named section.
func (sec *section) nameField() protoreflect.FieldDescriptor {
	return sec.field.Message().Fields().ByName("name")
}

// items returns the messages of the section in m, with their headings.
func (sec *section) items(m protoreflect.Message) []item {
	if !sec.named() {
		return []item{{heading: sec.name, message: m.Get(sec.field).Message()}}
	}
	list := m.Get(sec.field).List()
	items := make([]item, list.Len())
	for i := range items {
		message := list.Get(i).Message()
		name := message.Get(sec.nameField()).String()
		items[i] = item{heading: heading(sec.name, name), name: name, message: message}
	}
	return items
}

// item is one occurrence of a section in a message.
type item struct {
	heading string
	name    string
	message protoreflect.Message
}

func heading(section, name string) string {
	return section + ` "` + name + `"`
}
