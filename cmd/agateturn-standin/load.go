package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/agateturn/agateturn/standin/callers"
)

// loadCommand generates load. Its defaults are those of callers.Default.
type loadCommand struct {
	Targets       []string      `required:"" help:"Entry hosts, ip:port or ip:port=WEIGHT, comma separated; loopback only."`
	Services      []string      `required:"" help:"Services and their mean rates, NAME=REQUESTS_PER_SECOND, comma separated."`
	Teams         []string      `default:"orders,quality" help:"Teams that send requests, comma separated."`
	Duration      time.Duration `default:"20s" help:"How long new requests are started."`
	BurstLength   time.Duration `default:"4s" help:"Length of a service's burst, after which the next service has one."`
	BurstFactor   float64       `default:"5" help:"Rate in a burst, as a multiple of the mean."`
	IdleFactor    float64       `default:"0.05" help:"Rate between bursts, as a fraction of the mean."`
	KeyedShare    float64       `default:"0.2" help:"Share of requests that are not idempotent and carry a key."`
	UrgentShare   float64       `default:"0.2" help:"Share of requests of class urgent."`
	SessionShare  float64       `default:"0.02" help:"Share of requests that are sessions."`
	RepeatShare   float64       `default:"0" help:"Share of keyed requests that are sent twice concurrently."`
	RunTime       time.Duration `default:"0s" help:"Run time that a request asks for; 0 leaves it to the worker."`
	SessionLength time.Duration `default:"5s" help:"Length of a session, whole seconds."`
	AnswerBytes   int           `default:"2048" help:"Length of an answer."`
	Timeout       time.Duration `default:"10s" help:"Timeout of a request."`
	MaxInFlight   int           `default:"2000" help:"Maximum number of concurrent requests."`
	Balanced      bool          `default:"true" negatable:"" help:"Skip entry hosts whose readiness check fails, as the platform's load balancer does."`
	Seed          uint64        `default:"1" help:"Seed of the plan."`
	Strict        bool          `help:"Also fail if a request was cut, got no answer or got one outside the contract."`
	Trace         string        `help:"File to write each exchange to, as lines of JSON."`
	Output        string        `default:"table" enum:"table,json" help:"Format of the report: table or json."`
}

// Run generates the load and prints the report. It returns an error if an answer was wrong.
func (c *loadCommand) Run(ctx context.Context) error {
	config, err := c.config()
	if err != nil {
		return err
	}
	if c.Trace != "" {
		file, err := os.Create(c.Trace)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }() // lines are written without buffering
		lines := json.NewEncoder(file)
		config.Trace = func(e callers.Exchange) { _ = lines.Encode(e) } // a reader of the trace notices a missing line
	}
	report, err := callers.Run(ctx, config)
	if err != nil {
		return err
	}
	if err := c.print(report); err != nil {
		return err
	}
	if wrong := report.Wrong(); wrong > 0 {
		return fmt.Errorf("%d wrong answers", wrong)
	}
	if lost := report.Lost(); c.Strict && lost > 0 {
		return fmt.Errorf("%d requests cut, without an answer or with an unexpected one", lost)
	}
	return nil
}

func (c *loadCommand) print(report callers.Report) error {
	if c.Output == "table" {
		return report.WriteTable(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

func (c *loadCommand) config() (callers.Config, error) {
	targets, err := parseTargets(c.Targets)
	if err != nil {
		return callers.Config{}, err
	}
	services, err := parseServices(c.Services)
	if err != nil {
		return callers.Config{}, err
	}
	return callers.Config{
		Targets:       targets,
		Services:      services,
		Teams:         c.Teams,
		Duration:      c.Duration,
		BurstLength:   c.BurstLength,
		BurstFactor:   c.BurstFactor,
		IdleFactor:    c.IdleFactor,
		KeyedShare:    c.KeyedShare,
		UrgentShare:   c.UrgentShare,
		SessionShare:  c.SessionShare,
		RepeatShare:   c.RepeatShare,
		RunTime:       c.RunTime,
		SessionLength: c.SessionLength,
		AnswerBytes:   c.AnswerBytes,
		Timeout:       c.Timeout,
		MaxInFlight:   c.MaxInFlight,
		Balanced:      c.Balanced,
		Seed:          c.Seed,
	}, nil
}

func parseTargets(texts []string) ([]callers.Target, error) {
	targets := make([]callers.Target, 0, len(texts))
	for _, text := range texts {
		address, weight, weighted := strings.Cut(text, "=")
		target := callers.Target{Address: address, Weight: 1}
		if weighted {
			n, err := strconv.Atoi(weight)
			if err != nil {
				return nil, fmt.Errorf("target %q: the weight is not a whole number", text)
			}
			target.Weight = n
		}
		targets = append(targets, target)
	}
	return targets, nil
}

func parseServices(texts []string) ([]callers.Service, error) {
	services := make([]callers.Service, 0, len(texts))
	for _, text := range texts {
		name, rate, _ := strings.Cut(text, "=")
		n, err := strconv.ParseFloat(rate, 64)
		if err != nil {
			return nil, fmt.Errorf("service %q: want NAME=REQUESTS_PER_SECOND", text)
		}
		services = append(services, callers.Service{Name: name, Rate: n})
	}
	return services, nil
}
