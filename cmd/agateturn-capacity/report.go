package main

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"os"
	"strings"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/capacity"
)

// reportCommand computes the figures and writes them.
type reportCommand struct {
	Samples string  `default:"docs/capacity-samples.tsv" type:"existingfile" help:"Samples to read."`
	Table   string  `default:"docs/capacity.tsv" help:"Table to write, tab separated."`
	Page    string  `default:"docs/CAPACITY.md" type:"existingfile" help:"Page whose generated part is replaced."`
	Plot    string  `default:"docs/capacity.svg" help:"Plot to write."`
	Window  float64 `default:"4" help:"Length of the windows that the samples were taken in, in seconds."`
	Changes float64 `default:"2" help:"Changes in a window."`
}

// Markers in the page that enclose the generated table.
const (
	tableBegin = "<!-- table: begin; written by make capacity -->\n"
	tableEnd   = "<!-- table: end -->\n"
)

// Run writes the table, the page's part and the plot.
func (c *reportCommand) Run() error {
	file, err := os.Open(c.Samples)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	samples, err := readSamples(file)
	if err != nil {
		return err
	}
	figures, err := c.figures(samples)
	if err != nil {
		return err
	}
	var table bytes.Buffer
	if err := writeTable(&table, figures); err != nil {
		return err
	}
	if err := os.WriteFile(c.Table, table.Bytes(), fileMode); err != nil {
		return err
	}
	if err := os.WriteFile(c.Plot, drawPlots(samples), fileMode); err != nil {
		return err
	}
	return replaceTable(c.Page, markdown(figures))
}

func (c *reportCommand) figures(samples []capacity.Sample) ([]capacity.Figure, error) {
	window := capacity.Window{Seconds: c.Window, Changes: c.Changes}
	var figures []capacity.Figure
	for _, spec := range capacity.Specs(capacity.DesignLoad) {
		figure, err := spec.Compute(samples, window, capacity.DesignLoad.Size)
		if err != nil {
			return nil, fmt.Errorf("%s, %s: %w", spec.Role, spec.Quantity, err)
		}
		figures = append(figures, figure)
	}
	return figures, nil
}

// writeTable writes the figures, one per line, so that a later run can be compared.
func writeTable(w io.Writer, figures []capacity.Figure) error {
	_, err := fmt.Fprintln(w, "role\tquantity\tunit\tfit\tfit_low\tfit_high\tmeasured\tmeasured_low\tmeasured_high\tbound\tverdict\tmodel")
	for _, f := range figures {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			f.Spec.Role, f.Spec.Quantity, f.Spec.Unit,
			number(f.Fit.Value), number(f.Fit.Low), number(f.Fit.High),
			number(f.Measured.Value), number(f.Measured.Low), number(f.Measured.High),
			bound(f), verdict(f), modelText(f.Model))
	}
	return err
}

func markdown(figures []capacity.Figure) string {
	var b strings.Builder
	b.WriteString("| role | quantity | unit | fit (low to high) | measured there (low to high) | bound | |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	for _, f := range figures {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", f.Spec.Role, f.Spec.Quantity, f.Spec.Unit,
			rangeText(f.Fit), rangeText(f.Measured), bound(f), verdict(f))
	}
	return b.String()
}

func rangeText(r capacity.Range) string {
	if math.IsNaN(r.Value) {
		return "-"
	}
	return fmt.Sprintf("%s (%s to %s)", number(r.Value), number(r.Low), number(r.High))
}

func number(v float64) string {
	if math.IsNaN(v) {
		return "-"
	}
	return fmt.Sprintf("%.3g", v)
}

func bound(f capacity.Figure) string {
	if f.Spec.Bound == 0 {
		return "-"
	}
	return number(f.Spec.Bound)
}

func verdict(f capacity.Figure) string {
	switch {
	case f.Spec.Bound == 0:
		return "-"
	case f.Exceeds():
		return "EXCEEDS"
	default:
		return "within"
	}
}

// modelText formats the slopes of the model.
func modelText(m capacity.Model) string {
	return strings.Join(lo.Map(m.Terms, func(t capacity.Term, i int) string {
		return fmt.Sprintf("%.3g/%s", m.Slopes[i], t.Name)
	}), " + ")
}

// replaceTable replaces the text between the two markers of the page.
func replaceTable(path, text string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	before, rest, found := strings.Cut(string(page), tableBegin)
	_, after, closed := strings.Cut(rest, tableEnd)
	if !found || !closed {
		return fmt.Errorf("%s has no markers for the table", path)
	}
	return os.WriteFile(path, []byte(before+tableBegin+"\n"+text+"\n"+tableEnd+after), fileMode)
}
