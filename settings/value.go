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

// Units that imply a check beyond the type of the field.
const (
	unitAddress     = "ip:port"
	unitAddressList = "ip:port, comma separated"
	unitURL         = "http://ip:port"
	unitDuration    = "duration"
)

const (
	// maxTextBytes bounds a text, such as a name; maxSecretBytes bounds a secret.
	maxTextBytes   = 255
	maxSecretBytes = 4096
	// maxListValues bounds the number of values in a list.
	maxListValues = 10_000
	// maxQuotedBytes bounds the part of a value that an error quotes.
	maxQuotedBytes = 80
)

// redacted replaces a secret in output for display.
const redacted = "***"

// parse converts and checks one value. The remedy is empty if the value is valid.
func (k *key) parse(text string) (value any, remedy string) {
	value, remedy = k.convert(text)
	if remedy != "" {
		return nil, remedy
	}
	return value, k.check(value)
}

// convert returns the text as a string, bool, int64, float64, time.Duration or []string.
func (k *key) convert(text string) (any, string) {
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
		return n, lo.Ternary(err == nil, "", "write a whole number"+k.unitSuffix()+" without its unit, such as "+k.example())
	case protoreflect.DoubleKind:
		f, err := strconv.ParseFloat(text, 64)
		return f, lo.Ternary(err == nil, "", "write a number"+k.unitSuffix()+" without its unit, such as "+k.example())
	default:
		return nil, fmt.Sprintf("report a bug in the schema: keys of kind %s are not supported", k.field.Kind())
	}
}

func splitList(text string) []string {
	if strings.TrimSpace(text) == "" {
		return nil
	}
	return lo.Map(strings.Split(text, ","), func(part string, _ int) string { return strings.TrimSpace(part) })
}

// check returns the remedy for an invalid value of the right type, or "" if the value is valid.
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

// checkChoice checks a value against a unit that lists the choices, such as text|json.
func (k *key) checkChoice(text string) string {
	unit := k.option.GetUnit()
	if !strings.Contains(unit, "|") || slices.Contains(strings.Split(unit, "|"), text) {
		return ""
	}
	return "write one of " + strings.ReplaceAll(unit, "|", ", ")
}

func (k *key) checkList(list []string) string {
	if len(list) > maxListValues {
		return fmt.Sprintf("list at most %d values", maxListValues)
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
		return "write an IP address and a port, such as 127.0.1.1:8000; host names are not resolved"
	}
	return ""
}

func checkURL(text string) string {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" || u.User != nil || checkAddress(u.Host) != "" {
		return "write http://, an IP address and a port, such as http://127.0.1.100:8500; host names are not resolved"
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
	return fmt.Sprintf("write a value from %s to %s%s", k.formatBound(low), k.formatBound(high), k.unitSuffix())
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

// unitSuffix returns the unit in parentheses, or "" if the value itself has a unit.
func (k *key) unitSuffix() string {
	unit := k.option.GetUnit()
	return lo.Ternary(unit == "" || k.isDuration(), "", " ("+unit+")")
}

// example returns a sample value for error messages.
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

// quote formats a value for an error. It truncates a long value and hides a secret.
func (k *key) quote(text string) string {
	switch {
	case k.option.GetSecret():
		return "a secret"
	case len(text) > maxQuotedBytes:
		return fmt.Sprintf("%s of %d bytes", strconv.Quote(truncated(text)), len(text))
	default:
		return strconv.Quote(text)
	}
}

// truncated returns the text, cut to maxQuotedBytes if it is longer.
func truncated(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
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

// get is the inverse of set. It returns nil for an absent duration.
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

// format is the inverse of convert.
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

// formatDuration omits the trailing zero minutes and seconds that time.Duration prints.
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
