package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Units that are checked beyond the type of the field.
const (
	unitAddress     = "ip:port"
	unitAddressList = "ip:port, comma separated"
	unitURL         = "http://ip:port"
	unitDuration    = "duration"
)

const (
	// maxTextBytes bounds a text, such as a name; maxSecretBytes one that is secret.
	maxTextBytes   = 255
	maxSecretBytes = 4096
	// maxListed bounds the values of a list.
	maxListed = 10_000
	// maxQuoted bounds the part of a value that an error shows.
	maxQuoted = 80
)

// redacted stands for a secret in what is shown.
const redacted = "***"

// parse reads one value. The remedy is empty when the value is good.
func (k *key) parse(text string) (value any, remedy string) {
	value, remedy = k.read(text)
	if remedy != "" {
		return nil, remedy
	}
	return value, k.check(value)
}

// read turns text into string, bool, int64, float64, time.Duration or []string.
func (k *key) read(text string) (any, string) {
	switch {
	case k.field.IsList():
		return splitList(text), ""
	case k.isDuration():
		d, err := time.ParseDuration(text)
		return d, lo.Ternary(err == nil, "", "write a duration with its unit, such as "+k.example())
	}
	switch k.field.Kind() {
	case protoreflect.StringKind:
		return text, ""
	case protoreflect.BoolKind:
		return text == "true", lo.Ternary(text == "true" || text == "false", "", "write true or false")
	case protoreflect.Int64Kind:
		n, err := strconv.ParseInt(text, 10, 64)
		return n, lo.Ternary(err == nil, "", "write a whole number"+k.inUnit()+" without its unit, such as "+k.example())
	case protoreflect.DoubleKind:
		f, err := strconv.ParseFloat(text, 64)
		return f, lo.Ternary(err == nil, "", "write a number"+k.inUnit()+" without its unit, such as "+k.example())
	default:
		return nil, fmt.Sprintf("report a fault in the schema: keys of kind %s are not supported", k.field.Kind())
	}
}

func splitList(text string) []string {
	if strings.TrimSpace(text) == "" {
		return nil
	}
	return lo.Map(strings.Split(text, ","), func(part string, _ int) string { return strings.TrimSpace(part) })
}

// check returns the remedy for a value that has the right type and is not allowed, or "".
func (k *key) check(value any) string {
	switch v := value.(type) {
	case string:
		return k.checkText(v)
	case []string:
		return k.checkList(v)
	case int64:
		return k.checkBounds(float64(v))
	case float64:
		return k.checkBounds(v)
	case time.Duration:
		return k.checkBounds(v.Seconds())
	}
	return ""
}

func (k *key) checkText(text string) string {
	if text == "" {
		return lo.Ternary(k.option.GetRequired(), "write a value such as "+k.example(), k.checkChoice(text))
	}
	if limit := lo.Ternary(k.option.GetSecret(), maxSecretBytes, maxTextBytes); len(text) > limit {
		return fmt.Sprintf("shorten it to %d bytes", limit)
	}
	if strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r == '\x7f' || r == '`' }) {
		return "leave out control characters and backquotes"
	}
	switch k.option.GetUnit() {
	case unitAddress:
		return checkAddress(text)
	case unitURL:
		return checkURL(text)
	}
	return k.checkChoice(text)
}

// checkChoice checks units such as text|json.
func (k *key) checkChoice(text string) string {
	unit := k.option.GetUnit()
	if !strings.Contains(unit, "|") || slices.Contains(strings.Split(unit, "|"), text) {
		return ""
	}
	return "write one of " + strings.ReplaceAll(unit, "|", ", ")
}

func (k *key) checkList(list []string) string {
	if len(list) > maxListed {
		return fmt.Sprintf("list at most %d values", maxListed)
	}
	for _, text := range list {
		if text == "" {
			return "write values with single commas between them"
		}
		if len(text) > maxTextBytes {
			return fmt.Sprintf("shorten each value to %d bytes", maxTextBytes)
		}
		if k.option.GetUnit() != unitAddressList {
			continue
		}
		if remedy := checkAddress(text); remedy != "" {
			return remedy
		}
	}
	return ""
}

func checkAddress(text string) string {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return "write an IP number and a port, such as 127.0.1.1:8000; names are not looked up"
	}
	return ""
}

func checkURL(text string) string {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" || u.User != nil || checkAddress(u.Host) != "" {
		return "write http://, an IP number and a port, such as http://127.0.1.100:8500; names are not looked up"
	}
	return ""
}

func (k *key) checkBounds(number float64) string {
	low, high := k.option.GetMin(), k.option.GetMax()
	if math.IsNaN(number) || math.IsInf(number, 0) {
		return "write a finite number"
	}
	if low == 0 && high == 0 || number >= low && number <= high {
		return ""
	}
	return fmt.Sprintf("write a value from %s to %s%s", k.formatBound(low), k.formatBound(high), k.inUnit())
}

func (k *key) formatBound(bound float64) string {
	if k.isDuration() {
		return formatDuration(time.Duration(bound * float64(time.Second)))
	}
	return strconv.FormatFloat(bound, 'f', -1, 64)
}

func (k *key) isDuration() bool {
	return k.field.Message() != nil && k.field.Message().FullName() == "google.protobuf.Duration"
}

// inUnit is the unit in brackets, or "" where the value carries it.
func (k *key) inUnit() string {
	unit := k.option.GetUnit()
	return lo.Ternary(unit == "" || k.isDuration(), "", " ("+unit+")")
}

// example is a value that an error may show.
func (k *key) example() string {
	if text := k.option.GetDefaultValue(); text != "" {
		return text
	}
	switch k.option.GetUnit() {
	case unitAddress:
		return "127.0.1.1:8000"
	case unitURL:
		return "http://127.0.1.100:8500"
	case unitDuration:
		return "15s"
	}
	return "VALUE"
}

// quote shows a value in an error, the beginning of a long one, unless it is secret.
func (k *key) quote(text string) string {
	switch {
	case k.option.GetSecret():
		return "a secret"
	case len(text) > maxQuoted:
		return fmt.Sprintf("%s of %d bytes", strconv.Quote(shortened(text)), len(text))
	default:
		return strconv.Quote(text)
	}
}

// shortened is the text, or the beginning of a long one.
func shortened(text string) string {
	if len(text) <= maxQuoted {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuoted], "") + "..."
}

// set stores a value that parse returned.
func (k *key) set(message protoreflect.Message, value any) {
	switch v := value.(type) {
	case time.Duration:
		message.Set(k.field, protoreflect.ValueOfMessage(durationpb.New(v).ProtoReflect()))
	case []string:
		list := message.Mutable(k.field).List()
		for _, text := range v {
			list.Append(protoreflect.ValueOfString(text))
		}
	default:
		message.Set(k.field, protoreflect.ValueOf(value))
	}
}

// get is the reverse of set. An absent duration is nil.
func (k *key) get(message protoreflect.Message) any {
	value := message.Get(k.field)
	switch {
	case k.field.IsList():
		list := value.List()
		return lo.Map(lo.Range(list.Len()), func(i, _ int) string { return list.Get(i).String() })
	case k.isDuration():
		if !message.Has(k.field) {
			return nil
		}
		d := &durationpb.Duration{}
		proto.Merge(d, value.Message().Interface())
		return d.AsDuration()
	}
	return value.Interface()
}

// format is the reverse of read.
func format(value any) string {
	switch v := value.(type) {
	case time.Duration:
		return formatDuration(v)
	case []string:
		return strings.Join(v, ", ")
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}

// formatDuration leaves out the zero minutes and seconds that time.Duration prints.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
