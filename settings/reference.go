package settings

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
)

// Reference returns a Markdown description of every section and key of the messages, in the given order.
func Reference(msgs ...proto.Message) []byte {
	var b bytes.Buffer
	for _, msg := range msgs {
		fmt.Fprintf(&b, "\n## %s\n", msg.ProtoReflect().Descriptor().Name())
		for _, sec := range schemaOf(msg).sections {
			writeReference(&b, sec)
		}
	}
	return b.Bytes()
}

func writeReference(b *bytes.Buffer, sec *section) {
	title := lo.Ternary(sec.named(), heading(sec.name, "NAME"), sec.name)
	fmt.Fprintf(b, "\n### `[%s]`\n\n%s", title, sec.doc)
	if sec.named() {
		b.WriteString(" Once for each; names are letters, digits, `.`, `_` and `-`, at most 63.")
	}
	b.WriteString("\n\n| key | unit | default | from | to | meaning |\n|---|---|---|---|---|---|\n")
	for _, k := range sec.keys {
		low, high := k.boundCells()
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s | %s |\n", k.name, escapeCell(k.option.GetUnit()), k.defaultCell(), low, high,
			escapeCell(k.option.GetDoc()))
	}
}

// escapeCell escapes characters that would end a table cell.
func escapeCell(text string) string {
	return strings.ReplaceAll(text, "|", `\|`)
}

func (k *key) defaultCell() string {
	switch {
	case k.option.GetRequired():
		return "required"
	case k.option.GetDefaultValue() == "":
		return "empty"
	}
	return "`" + k.option.GetDefaultValue() + "`"
}

func (k *key) boundCells() (low, high string) {
	if k.option.GetMin() == 0 && k.option.GetMax() == 0 {
		return "", ""
	}
	return k.formatBound(k.option.GetMin()), k.formatBound(k.option.GetMax())
}
