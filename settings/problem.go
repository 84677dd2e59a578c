package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Invalid is the class of every error about the content of a file or message. Test for it with Invalid.Has(err).
var Invalid = errs.Class("settings refused")

// Problem is one thing that an operator has to mend.
type Problem struct {
	File    string
	Section string // such as `host "w1"`; empty when the whole file is meant
	Key     string // empty when the whole section is meant
	Found   string
	Remedy  string
}

// String is one line naming file, section, key, what was found and the remedy.
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

// Problems is every problem of one file, in the order of the file and then of the schema.
type Problems []Problem

// Error is one problem a line.
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

// Refuse wraps problems found by another package into an error of class Invalid; it is nil when there are none.
func Refuse(problems ...Problem) error {
	return asError(problems)
}

func asError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return Invalid.Wrap(Problems(problems))
}
