package main

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/capacity"
	"github.com/agateturn/agateturn/config"
	"github.com/agateturn/agateturn/settings"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

func TestDesignSizeIsAValidConfiguration(t *testing.T) {
	out := filepath.Join(t.TempDir(), "deployment.ini")
	size := capacity.DesignLoad.Size
	command := deploymentCommand{Hosts: size.Hosts, Pools: size.Pools, Teams: size.Teams, DataCentres: 5, Regions: 2, Out: out}
	assert.NilError(t, command.Run())
	cfg := &pb.Configuration{}
	assert.NilError(t, settings.Load(out, cfg))
	assert.NilError(t, config.Check(cfg))
	assert.Equal(t, len(cfg.GetHosts()), size.Hosts)
	assert.Equal(t, len(cfg.GetTeams()), size.Teams)
}

// samples returns the samples of a deployment in which every measure is the sum of the sizes.
func samples() []capacity.Sample {
	sizes := []capacity.Size{
		{Hosts: 50, EntryHosts: 9, Pools: 5, Teams: 20},
		{Hosts: 500, EntryHosts: 9, Pools: 5, Teams: 20},
		{Hosts: 50, EntryHosts: 18, Pools: 5, Teams: 20},
		{Hosts: 50, EntryHosts: 9, Pools: 28, Teams: 20},
		{Hosts: 50, EntryHosts: 9, Pools: 5, Teams: 200},
		{Hosts: 500, EntryHosts: 18, Pools: 5, Teams: 20},
	}
	var all []capacity.Sample
	for _, spec := range capacity.Specs(capacity.DesignLoad) {
		for i, size := range append(sizes, capacity.DesignLoad.Size) {
			series := "base"
			if i == len(sizes) {
				series = capacity.SeriesDesign
			}
			value := float64(size.Hosts + size.EntryHosts + size.Pools + size.Teams)
			for _, state := range []string{spec.State, capacity.StateIdle} {
				all = append(all, capacity.Sample{Series: series, State: state, Run: 1, Size: size, Measure: spec.Measure, Value: value})
			}
		}
	}
	return all
}

func TestReportWritesTablePageAndPlot(t *testing.T) {
	dir := t.TempDir()
	in := func(name string) string { return filepath.Join(dir, name) }
	var data bytes.Buffer
	assert.NilError(t, writeSamples(&data, samples()))
	assert.NilError(t, os.WriteFile(in("samples"), data.Bytes(), fileMode))
	assert.NilError(t, os.WriteFile(in("page"), []byte("before\n"+tableBegin+"old\n"+tableEnd+"after\n"), fileMode))
	command := reportCommand{Samples: in("samples"), Table: in("table"), Page: in("page"), Plot: in("plot"), Window: 6, Changes: 2}
	assert.NilError(t, command.Run())

	page, err := os.ReadFile(in("page"))
	assert.NilError(t, err)
	assert.Assert(t, bytes.HasPrefix(page, []byte("before\n")) && bytes.HasSuffix(page, []byte("after\n")))
	assert.Assert(t, !bytes.Contains(page, []byte("old")))
	// 1400 + 30 + 28 + 200 exceeds the bounds, both in the fit and as measured.
	assert.Assert(t, bytes.Contains(page, []byte("| whole node | resident memory, mean node | MB | 1.66e+03")), "%s", page)
	assert.Assert(t, bytes.Contains(page, []byte("| 32 | EXCEEDS |")))
	table, err := os.ReadFile(in("table"))
	assert.NilError(t, err)
	assert.Equal(t, bytes.Count(table, []byte("\n")), len(capacity.Specs(capacity.DesignLoad))+1)
	plot, err := os.ReadFile(in("plot"))
	assert.NilError(t, err)
	assertWellFormed(t, plot)
}

func assertWellFormed(t *testing.T, data []byte) {
	t.Helper()
	decoder := xml.NewDecoder(bytes.NewReader(data))
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		assert.NilError(t, err)
	}
}

func TestOwnProcessIsReadable(t *testing.T) {
	rss, err := residentBytes(os.Getpid())
	assert.NilError(t, err)
	assert.Assert(t, rss > 0)
	_, err = processorTime(os.Getpid())
	assert.NilError(t, err)
}
