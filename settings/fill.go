package settings

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Question describes one key that a Dialogue asks for.
type Question struct {
	Section  string // heading of the section, such as host "w1"
	Key      string
	Doc      string
	Unit     string
	Default  string
	Required bool
	Secret   bool
}

// Dialogue provides the values that Fill asks for. Fill stops at the first error of a method and returns it.
type Dialogue interface {
	// Name returns the name of the next item of a named section, or "" when there are no more.
	Name(section, doc string) (string, error)
	// Answer returns the value of a key in INI notation, or "" for the default.
	Answer(q Question) (string, error)
	// Reject reports how to correct the last name or answer, which was invalid. Fill then asks for it again.
	Reject(remedy string) error
}

// Fill resets msg and sets every key from the dialogue, in the order of the schema.
func Fill(msg proto.Message, d Dialogue) error {
	proto.Reset(msg)
	p := &parser{schema: schemaOf(msg), target: msg.ProtoReflect(), seen: map[string]bool{}}
	for _, sec := range p.schema.sections {
		if err := fillSection(p, sec, d); err != nil {
			return err
		}
	}
	return nil
}

func fillSection(p *parser, sec *section, d Dialogue) error {
	if !sec.named() {
		return fillKeys(sec, sec.name, p.sectionMessage(sec, ""), d)
	}
	for {
		name, err := d.Name(sec.name, sec.doc)
		if err != nil || name == "" {
			return err
		}
		if !p.registerHeading(sec, heading(sec.name, name), name) {
			if err := d.Reject(p.problems[len(p.problems)-1].Remedy); err != nil {
				return err
			}
			continue
		}
		if err := fillKeys(sec, heading(sec.name, name), p.sectionMessage(sec, name), d); err != nil {
			return err
		}
	}
}

func fillKeys(sec *section, heading string, message protoreflect.Message, d Dialogue) error {
	for _, k := range sec.keys {
		if err := fillKey(k, heading, message, d); err != nil {
			return err
		}
	}
	return nil
}

func fillKey(k *key, heading string, message protoreflect.Message, d Dialogue) error {
	question := Question{
		Section: heading, Key: k.name, Doc: k.option.GetDoc(), Unit: k.option.GetUnit(),
		Default: k.option.GetDefaultValue(), Required: k.option.GetRequired(), Secret: k.option.GetSecret(),
	}
	for {
		text, err := d.Answer(question)
		if err != nil {
			return err
		}
		if text == "" {
			text = question.Default
		}
		value, remedy := k.parse(text)
		if remedy == "" {
			k.set(message, value)
			return nil
		}
		if err := d.Reject(remedy); err != nil {
			return err
		}
	}
}
