package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/agateturn/agateturn/standin/platformd"
)

const (
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
	callTimeout    = 30 * time.Second
	resetPath      = "/admin/counters/reset"
	bytesPerMB     = 1e6
	bytesPerKB     = 1e3
)

// daemon is one agateturnd process that is measured.
type daemon struct {
	name     string
	pid      int
	operator string // address of its operator API
}

// reading is the cumulative usage and the metrics of one daemon.
type reading struct {
	cpuSeconds float64
	rssBytes   float64
	metrics    map[string]float64
}

// readDaemons reads lines of name, process id and operator address.
func readDaemons(path string) ([]daemon, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var daemons []daemon
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) != 3 {
			return nil, fmt.Errorf("%s: want NAME PID OPERATOR-ADDRESS, found %q", path, line)
		}
		pid, err := strconv.Atoi(fields[1])
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		daemons = append(daemons, daemon{name: fields[0], pid: pid, operator: fields[2]})
	}
	return daemons, nil
}

func (d daemon) read(ctx context.Context) (reading, error) {
	metrics, err := d.metrics(ctx)
	if err != nil {
		return reading{}, err
	}
	cpu, err := processorTime(d.pid)
	if err != nil {
		return reading{}, err
	}
	rss, err := residentBytes(d.pid)
	return reading{cpuSeconds: cpu, rssBytes: rss, metrics: metrics}, err
}

// processorTime returns the user and system time of a process, in seconds.
func processorTime(pid int) (float64, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if len(fields) < 13 {
		return 0, fmt.Errorf("process %d: short stat line", pid)
	}
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond, err
}

func residentBytes(pid int) (float64, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()), err
}

// metrics reads the daemon's metrics. Request counts of all labels are summed.
func (d daemon) metrics(ctx context.Context) (map[string]float64, error) {
	body, err := call(ctx, http.MethodGet, "http://"+d.operator+"/metrics", "", nil)
	if err != nil {
		return nil, err
	}
	values := map[string]float64{}
	scanner := bufio.NewScanner(strings.NewReader(string(body)))
	for scanner.Scan() {
		name, text, found := strings.Cut(scanner.Text(), "} ")
		if !found {
			name, text, _ = strings.Cut(scanner.Text(), " ")
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue // a comment
		}
		if strings.HasPrefix(name, "agateturn_request_seconds_count") {
			name = "requests"
		}
		values[name] += value
	}
	return values, scanner.Err()
}

// traffic returns the total bytes sent and received on connections of one kind.
func (r reading) traffic(kind string) float64 {
	sum := 0.0
	for name, value := range r.metrics {
		if strings.HasPrefix(name, "agateturn_control_bytes") && strings.Contains(name, `with="`+kind+`"`) {
			sum += value
		}
	}
	return sum
}

func storeCounters(ctx context.Context, platform string) (platformd.Counters, error) {
	var counters platformd.Counters
	body, err := call(ctx, http.MethodGet, platform+"/admin/counters", "", nil)
	if err != nil {
		return counters, err
	}
	return counters, json.Unmarshal(body, &counters)
}

// call makes one HTTP call and returns the body of the answer. A status from 300 on is an error.
func call(ctx context.Context, method, address, token string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, address, strings.NewReader(string(data)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= http.StatusMultipleChoices {
		err = fmt.Errorf("%s %s: %s: %s", method, address, response.Status, answer)
	}
	return answer, err
}
