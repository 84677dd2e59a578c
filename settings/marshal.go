package settings

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
)

// Marshal writes msg as an INI file that Parse reads back: sections and keys in the order of the schema, items in
// the order of the message. It returns the error of Validate for an invalid message. Secrets are written in plain text.
func Marshal(msg proto.Message) ([]byte, error) {
	if err := Validate(msg); err != nil {
		return nil, err
	}
	return write(msg, false), nil
}

// MarshalRedacted writes msg for display, with *** in place of each secret. It does not validate.
func MarshalRedacted(msg proto.Message) []byte {
	return write(msg, true)
}

func write(msg proto.Message, redact bool) []byte {
	var b bytes.Buffer
	for _, sec := range schemaOf(msg).sections {
		for _, it := range sec.items(msg.ProtoReflect()) {
			writeItem(&b, sec, it, redact)
		}
	}
	return b.Bytes()
}

func writeItem(b *bytes.Buffer, sec *section, it item, redact bool) {
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	fmt.Fprintf(b, "[%s]\n", it.heading)
	for _, k := range sec.keys {
		value := k.get(it.message)
		if value == nil {
			continue
		}
		text := quoteValue(format(value))
		if redact && k.option.GetSecret() {
			text = lo.Ternary(text == "", "", redacted)
		}
		b.WriteString(strings.TrimRight(k.name+" = "+text, " ") + "\n")
	}
}

// quoteValue encloses a value in backquotes if INI would not read it back unchanged, such as one with comment
// characters, quotes, or leading or trailing spaces.
func quoteValue(text string) string {
	if strings.ContainsAny(text, "#;\"'\\%=") || strings.TrimSpace(text) != text {
		return "`" + text + "`"
	}
	return text
}
