package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Invalid is the class of all errors about the content of a file or message. Invalid.Has(err) tests for it.
var Invalid = errs.Class("settings refused")

// Problem is one fault in a file or message, with the remedy for the operator.
type Problem struct {
	File    string
	Section string // such as `host "w1"`; empty if the problem concerns the whole file
	Key     string // empty if the problem concerns the whole section
	Found   string
	Remedy  string
}

// String returns one line with the file, section, key, what was found and the remedy.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s: ", p.File)
	}
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: ", p.Key)
	}
	fmt.Fprintf(&b, "%s; %s", p.Found, p.Remedy)
	return b.String()
}

// Problems lists the problems of one file, in the order of the file and then of the schema.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// ProblemsOf returns the problems that err carries, or nil.
func ProblemsOf(err error) Problems {
	var problems Problems
	if errors.As(err, &problems) {
		return problems
	}
	return nil
}

// InvalidError wraps problems into an error of class Invalid. It returns nil if there are none.
func InvalidError(problems ...Problem) error {
	return asError(problems)
}

func asError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return Invalid.Wrap(Problems(problems))
}
