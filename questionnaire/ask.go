package questionnaire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/settings"
)

// Interrupted is the class of errors for input that ends before the last question is answered.
var Interrupted = errs.Class("questionnaire ended early; answer every question or use an answers file")

// maxLineBytes is the maximum length of an input line.
const maxLineBytes = 4096

// Ask writes questions to out and reads one line from in for each. An empty line selects the default shown, or ends a
// list of names. A question is repeated after an invalid answer. An error is of class Interrupted.
func Ask(in io.Reader, out io.Writer) (*Answers, error) {
	answers := &Answers{}
	return answers, ask(in, out, answers)
}

// AskJobs is Ask for a deployment that serves jobs.
func AskJobs(in io.Reader, out io.Writer) (*JobAnswers, error) {
	answers := &JobAnswers{}
	return answers, ask(in, out, answers)
}

func ask(in io.Reader, out io.Writer, answers proto.Message) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	return Interrupted.Wrap(settings.Fill(answers, &dialogue{lines: lines, out: out}))
}

// dialogue implements settings.Dialogue over lines of text.
type dialogue struct {
	lines   *bufio.Scanner
	out     io.Writer
	section string // heading that was written last
}

// Name asks for the next name of a section.
func (d *dialogue) Name(section, doc string) (string, error) {
	title := strings.ReplaceAll(section, "_", " ")
	return d.prompt(fmt.Sprintf("\n%s Name of the next %s, or an empty line to finish: ", doc, title))
}

// Answer asks for the value of one key.
func (d *dialogue) Answer(q settings.Question) (string, error) {
	if q.Section != d.section {
		if _, err := fmt.Fprintf(d.out, "\n[%s]\n", q.Section); err != nil {
			return "", err
		}
		d.section = q.Section
	}
	return d.prompt(strings.TrimSuffix(q.Doc, ".") + hint(q) + ": ")
}

// Reject writes the remedy for an invalid answer.
func (d *dialogue) Reject(remedy string) error {
	_, err := fmt.Fprintf(d.out, "  not allowed: %s\n", remedy)
	return err
}

func (d *dialogue) prompt(text string) (string, error) {
	if _, err := io.WriteString(d.out, text); err != nil {
		return "", err
	}
	if !d.lines.Scan() {
		return "", errors.Join(d.lines.Err(), io.ErrUnexpectedEOF)
	}
	return strings.TrimSpace(d.lines.Text()), nil
}

// hint returns the unit and the default, such as " (duration) [15m]".
func hint(q settings.Question) string {
	var text string
	if q.Unit != "" {
		text += " (" + q.Unit + ")"
	}
	if q.Default != "" {
		text += " [" + q.Default + "]"
	}
	return text
}
