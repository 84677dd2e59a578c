// Package timeline joins the log lines of entry hosts into the timeline of one job.
package timeline

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Line is one log line. Fields keep the order of the line, without time, level, message, event, name and host.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	Event   int
	Name    string
	Host    string
	Fields  []Field

	// position is the number of lines read before this one.
	position int
}

// Field is a further key of a line with its value.
type Field struct {
	Key, Value string
}

// Get returns the value of a field, or "" if the line lacks it.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Parse reads a line in the daemon's text or JSON format. A prefix, such as the time of a log collector, is skipped. It
// returns false if the line has no event number or no valid time.
func Parse(text string) (Line, bool) {
	var fields []Field
	if at := strings.IndexByte(text, '{'); at >= 0 && strings.Contains(text[at:], `"time":`) {
		fields = jsonFields(text[at:])
	} else if at := strings.Index(text, "time="); at >= 0 {
		fields = textFields(text[at:])
	}
	var l Line
	for _, f := range fields {
		l.set(f)
	}
	return l, l.Event != 0 && !l.Time.IsZero()
}

func (l *Line) set(f Field) {
	switch f.Key {
	case "time":
		l.Time, _ = time.Parse(time.RFC3339Nano, f.Value)
	case "level":
		l.Level = f.Value
	case "msg":
		l.Message = f.Value
	case "event":
		l.Event, _ = strconv.Atoi(f.Value)
	case "name":
		l.Name = f.Value
	case "entry_host":
		l.Host = f.Value
	default:
		l.Fields = append(l.Fields, f)
	}
}

// textFields reads key=value pairs; values with spaces are quoted as Go strings.
func textFields(text string) []Field {
	var out []Field
	text = strings.TrimSpace(text)
	for text != "" {
		key, rest, ok := strings.Cut(text, "=")
		if !ok {
			return out
		}
		value, after := textValue(rest)
		out = append(out, Field{Key: key, Value: value})
		text = strings.TrimLeft(after, " ")
	}
	return out
}

func textValue(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		value, _ = strconv.Unquote(quoted)
		return value, text[len(quoted):]
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}

func jsonFields(text string) []Field {
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	if _, err := decoder.Token(); err != nil {
		return nil
	}
	var out []Field
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return out
		}
		var value any
		if decoder.Decode(&value) != nil {
			return out
		}
		out = append(out, Field{Key: fmt.Sprint(key), Value: fmt.Sprint(value)})
	}
	return out
}
