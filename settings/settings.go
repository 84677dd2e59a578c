// Package settings reads and writes INI files through the schema in proto/.
//
// A message field whose message carries the section option is one [section]. A repeated one is written
// [section "name"], and the name is stored in the name field of the item. The key option of a scalar field gives its
// default, unit and bounds. A scalar is a text, a boolean (true or false), an integer, a decimal number, a duration
// such as 15s, or a comma-separated list of texts.
//
// Every function is safe for concurrent use as long as the messages are not shared.
package settings

import (
	"os"

	"google.golang.org/protobuf/proto"
	"gopkg.in/ini.v1"
)

// MaxBytes is the maximum size of a file.
const MaxBytes = 4 << 20

// Load resets msg and reads the file at path into it. An error is of class Invalid and lists every problem.
func Load(path string, msg proto.Message) error {
	data, err := os.ReadFile(path)
	if err != nil {
		problem := Problem{File: path, Found: err.Error(), Remedy: "name a file that exists and is readable"}
		return asError([]Problem{problem})
	}
	return Parse(path, data, msg)
}

// Parse resets msg and reads data into it; file is used only in errors.
// An error is of class Invalid and lists every problem.
func Parse(file string, data []byte, msg proto.Message) error {
	proto.Reset(msg)
	p := &parser{file: file, schema: schemaOf(msg), target: msg.ProtoReflect(), seen: map[string]bool{}}
	p.parse(data)
	return asError(p.problems)
}

// Validate checks the section names, units and bounds of a message that was not read from a file. Problems name the section and key.
// An error is of class Invalid.
func Validate(msg proto.Message) error {
	v := &validator{schema: schemaOf(msg), target: msg.ProtoReflect()}
	v.validate()
	return asError(v.problems)
}

// HasSection reports whether the file has a section of that name. It returns false if the file cannot be read; Load
// reports the reason.
func HasSection(path, name string) bool {
	data, err := os.ReadFile(path)
	if err != nil || len(data) > MaxBytes {
		return false
	}
	file, err := ini.LoadSources(options(), data)
	return err == nil && file.HasSection(name)
}
