package settings

import (
	"fmt"
	"regexp"
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"
)

// namePattern matches a valid name. Names become part of keys, paths, headers and metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// headingPattern splits `host "w1"` into the section and the name.
var headingPattern = regexp.MustCompile(`^([^\s"]+)(?:\s+"([^"]*)")?$`)

// parser reads one file. It continues after a problem so that all problems are reported at once.
type parser struct {
	file     string
	schema   *schema
	target   protoreflect.Message
	seen     map[string]bool // headings read so far
	problems []Problem
}

func (p *parser) parse(data []byte) {
	if len(data) > MaxBytes {
		p.report("", "", fmt.Sprintf("file of %d bytes", len(data)), fmt.Sprintf("keep it under %d bytes", MaxBytes))
		return
	}
	if !utf8.Valid(data) {
		p.report("", "", "file is not UTF-8 text", "save it as UTF-8")
		return
	}
	file, err := ini.LoadSources(options(), data)
	if err != nil {
		p.report("", "", "file is not INI: "+truncated(err.Error()), "write [section] lines and key = value lines only")
		return
	}
	for _, sec := range file.Sections() {
		p.readSection(sec)
	}
	p.setAbsentSections()
}

// options returns load options that preserve duplicate sections and keys, so that they can be reported, and disable every
// form of continuation and interpolation.
func options() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		KeyValueDelimiters:         "=",
	}
}

func (p *parser) readSection(sec *ini.Section) {
	if sec.Name() == ini.DefaultSection {
		p.reportUnsectioned(sec)
		return
	}
	name, itemName, ok := splitHeading(sec.Name())
	if !ok {
		p.report(sec.Name(), "", "malformed heading", `write [section] or [section "name"]`)
		return
	}
	known := p.schema.section(name)
	if known == nil {
		p.report(sec.Name(), "", "unknown section", didYouMean(name, p.schema.sectionNames()))
		return
	}
	if !p.registerHeading(known, sec.Name(), itemName) {
		return
	}
	p.readKeys(known, sec, p.sectionMessage(known, itemName))
}

// reportUnsectioned reports keys that precede the first section.
func (p *parser) reportUnsectioned(sec *ini.Section) {
	for _, k := range sec.KeyStrings() {
		p.report("", k, "key outside of any section", p.misplacedKeyRemedy(k, "move it below a [section] line"))
	}
}

func splitHeading(raw string) (section, name string, ok bool) {
	parts := headingPattern.FindStringSubmatch(strings.TrimSpace(raw))
	if parts == nil {
		return "", "", false
	}
	return parts[1], parts[2], true
}

// registerHeading validates the heading of a section and records it, so that a second one is reported as a duplicate.
func (p *parser) registerHeading(known *section, raw, name string) bool {
	if known.named() && !namePattern.MatchString(name) {
		p.report(raw, "", "section needs a name",
			fmt.Sprintf(`write [%s "NAME"] with letters, digits, ".", "_" and "-", at most 63`, known.name))
		return false
	}
	if !known.named() && raw != known.name {
		p.report(raw, "", "section takes no name", fmt.Sprintf("write [%s]", known.name))
		return false
	}
	id := known.name + "\x00" + name
	if p.seen[id] {
		p.report(raw, "", "duplicate section", "keep one, or give the other another name")
		return false
	}
	p.seen[id] = true
	return true
}

// sectionMessage returns the message that receives the keys of the section. For a named section, it appends one.
func (p *parser) sectionMessage(known *section, name string) protoreflect.Message {
	if !known.named() {
		return p.target.Mutable(known.field).Message()
	}
	message := p.target.Mutable(known.field).List().AppendMutable().Message()
	message.Set(known.nameField(), protoreflect.ValueOfString(name))
	return message
}

func (p *parser) readKeys(known *section, sec *ini.Section, message protoreflect.Message) {
	for _, name := range sec.KeyStrings() {
		if known.key(name) == nil {
			p.report(sec.Name(), name, "unknown key", p.misplacedKeyRemedy(name, didYouMean(name, known.keyNames())))
		}
	}
	for _, k := range known.keys {
		p.readKey(k, sec, message)
	}
}

func (p *parser) readKey(k *key, sec *ini.Section, message protoreflect.Message) {
	if !sec.HasKey(k.name) {
		p.setAbsent(k, sec.Name(), message)
		return
	}
	values := sec.Key(k.name).ValueWithShadows()
	if len(values) > 1 {
		p.report(sec.Name(), k.name, "duplicate key", "keep one line")
		return
	}
	p.setText(k, sec.Name(), sec.Key(k.name).Value(), message)
}

func (p *parser) setAbsent(k *key, heading string, message protoreflect.Message) {
	if k.option.GetRequired() {
		p.report(heading, k.name, "missing required key", "add "+k.name+" = "+k.example())
		return
	}
	p.setText(k, heading, k.option.GetDefaultValue(), message)
}

func (p *parser) setText(k *key, heading, text string, message protoreflect.Message) {
	value, remedy := k.parse(text)
	if remedy != "" {
		p.report(heading, k.name, "found "+k.quote(text), remedy)
		return
	}
	k.set(message, value)
}

// setAbsentSections sets the defaults of sections that are missing from the file.
func (p *parser) setAbsentSections() {
	for _, known := range p.schema.sections {
		if known.named() || p.seen[known.name+"\x00"] {
			continue
		}
		if known.hasRequired() {
			p.report(known.name, "", "missing section", "add ["+known.name+"] with its required keys")
			continue
		}
		message := p.sectionMessage(known, "")
		for _, k := range known.keys {
			p.setAbsent(k, known.name, message)
		}
	}
}

// misplacedKeyRemedy names the section that has the key, or returns the fallback if there is none.
func (p *parser) misplacedKeyRemedy(key, fallback string) string {
	if name := p.schema.sectionWithKey(key); name != "" {
		return "move it to [" + name + "]"
	}
	return fallback
}

func (p *parser) report(section, key, found, remedy string) {
	p.problems = append(p.problems, Problem{
		File: p.file, Section: truncated(section), Key: truncated(key), Found: found, Remedy: remedy,
	})
}
