package settings

import (
	"google.golang.org/protobuf/reflect/protoreflect"
)

// validator checks a message against its schema.
type validator struct {
	schema   *schema
	target   protoreflect.Message
	problems []Problem
}

func (v *validator) validate() {
	for _, sec := range v.schema.sections {
		for _, it := range sec.items(v.target) {
			v.validateItem(sec, it)
		}
	}
}

func (v *validator) validateItem(sec *section, it item) {
	if sec.named() && !namePattern.MatchString(it.name) {
		v.report(it, "", "invalid name", `use letters, digits, ".", "_" and "-", at most 63`)
	}
	for _, k := range sec.keys {
		value := k.get(it.message)
		if value == nil {
			v.report(it, k.name, "missing", "set it, such as "+k.example())
			continue
		}
		if remedy := k.check(value); remedy != "" {
			v.report(it, k.name, "found "+k.quote(format(value)), remedy)
		}
	}
}

func (v *validator) report(it item, key, found, remedy string) {
	v.problems = append(v.problems, Problem{Section: truncated(it.heading), Key: key, Found: found, Remedy: remedy})
}
