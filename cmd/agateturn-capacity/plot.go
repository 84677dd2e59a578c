package main

import (
	"bytes"
	"fmt"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/capacity"
)

// Sizes of the plot, in pixels.
const (
	panelWidth  = 380
	panelHeight = 240
	panelMargin = 50
	panelsInRow = 2
	dotRadius   = 3
)

// panel is one diagram: a measure over one dimension of the size.
type panel struct {
	title   string
	series  string
	measure string
	bound   float64 // 0 for none
	x       func(capacity.Size) int
}

func panels() []panel {
	hosts := func(s capacity.Size) int { return s.Hosts }
	entryHosts := func(s capacity.Size) int { return s.EntryHosts }
	return []panel{
		{"processor, % of a core, over workers (9 entry hosts)", "hosts", "cpu_percent", capacity.BoundCPUPercent, hosts},
		{"processor, % of a core, over entry hosts (150 workers)", "entry-hosts", "cpu_percent", capacity.BoundCPUPercent, entryHosts},
		{"resident MB over workers (9 entry hosts)", "hosts", "rss_mb", capacity.BoundMemoryMB, hosts},
		{"resident MB over entry hosts (150 workers)", "entry-hosts", "rss_mb", capacity.BoundMemoryMB, entryHosts},
		{"platform list KB/s, controller, over workers", "hosts", "platform_kb_s_max", capacity.BoundKBPerSecond, hosts},
		{"peers KB/s over entry hosts (150 workers)", "entry-hosts", "peers_kb_s", capacity.BoundKBPerSecond, entryHosts},
	}
}

// drawPlots draws the idle samples, and the bounds as red lines, as SVG.
func drawPlots(samples []capacity.Sample) []byte {
	var b bytes.Buffer
	all := panels()
	rows := (len(all) + panelsInRow - 1) / panelsInRow
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		panelsInRow*panelWidth, rows*panelHeight)
	b.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	for i, p := range all {
		fmt.Fprintf(&b, `<g transform="translate(%d %d)">`+"\n", i%panelsInRow*panelWidth, i/panelsInRow*panelHeight)
		p.draw(&b, lo.Filter(samples, func(s capacity.Sample, _ int) bool {
			return s.Series == p.series && s.State == capacity.StateIdle && s.Measure == p.measure
		}))
		b.WriteString("</g>\n")
	}
	b.WriteString("</svg>\n")
	return b.Bytes()
}

func (p panel) draw(b *bytes.Buffer, samples []capacity.Sample) {
	fmt.Fprintf(b, `<text x="%d" y="16">%s</text>`+"\n", panelMargin, p.title)
	if len(samples) == 0 {
		return
	}
	maxX := lo.Max(lo.Map(samples, func(s capacity.Sample, _ int) float64 { return float64(p.x(s.Size)) }))
	maxY := max(p.bound, lo.Max(lo.Map(samples, func(s capacity.Sample, _ int) float64 { return s.Value }))) * 1.1
	const bottom, right = panelHeight - panelMargin/2, panelWidth - panelMargin/2
	px := func(x float64) float64 { return panelMargin + x/maxX*(right-panelMargin) }
	py := func(y float64) float64 { return bottom - y/maxY*(bottom-panelMargin/2) }
	fmt.Fprintf(b, `<path d="M%d %dV%dH%d" fill="none" stroke="black"/>`+"\n", panelMargin, panelMargin/2, bottom, right)
	for _, share := range []float64{0, 0.5, 1} {
		fmt.Fprintf(b, `<text x="%.0f" y="%d" text-anchor="middle">%.0f</text>`+"\n", px(share*maxX), bottom+14, share*maxX)
		fmt.Fprintf(b, `<text x="%d" y="%.0f" text-anchor="end">%.3g</text>`+"\n", panelMargin-4, py(share*maxY)+4, share*maxY)
	}
	if p.bound > 0 {
		fmt.Fprintf(b, `<path d="M%d %.1fH%d" stroke="red" stroke-dasharray="4"/>`+"\n", panelMargin, py(p.bound), right)
	}
	for _, s := range samples {
		fmt.Fprintf(b, `<circle cx="%.1f" cy="%.1f" r="%d" fill="none" stroke="navy"/>`+"\n", px(float64(p.x(s.Size))), py(s.Value), dotRadius)
	}
}
