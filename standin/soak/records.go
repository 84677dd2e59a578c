package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/agateturn/agateturn/standin/callers"
	"github.com/agateturn/agateturn/standin/workers"
)

func (w *requestHarness) readHistory() error {
	file, err := os.Open(w.file("history.log"))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var e callers.Exchange
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return err
		}
		w.seen.Exchanges = append(w.seen.Exchanges, e)
	}
	return nil
}

// readRecords reads the records of the workers and writes all observations to seen.json.
func (w *requestHarness) readRecords(ctx context.Context) error {
	admin := address(w.real(), standinByte, adminPort)
	if w.call(ctx, http.MethodGet, admin+"/admin/counts", nil, &w.seen.Counts) != http.StatusOK {
		return errors.New("the workers did not return their counts")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/admin/records", nil)
	if err != nil {
		return err
	}
	resp, err := w.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := json.NewDecoder(resp.Body); lines.More(); {
		var record workers.Record
		if err := lines.Decode(&record); err != nil {
			return err
		}
		w.seen.Records = append(w.seen.Records, record)
	}
	data, err := json.MarshalIndent(w.seen, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(w.file("seen.json"), data, 0o600)
}

// evidence returns lines about a request or a key as callers and workers observed it, at most maxEvidence.
func (w *requestHarness) evidence(id string) (lines []string) {
	if id == "" {
		return nil
	}
	for _, e := range w.seen.Exchanges {
		if e.ID == id || e.Key == id {
			lines = append(lines, fmt.Sprintf("caller: %s of %s sent %s ended %s: %s (%d)", e.ID, e.Target, e.Sent.Format(clockLayout), e.Ended.Format(clockLayout), e.Result, e.Status))
		}
	}
	for _, r := range w.seen.Records {
		if r.RequestID == id || r.Key == id {
			lines = append(lines, fmt.Sprintf("worker %s: %s began %s ended %s, ran %t", r.Host, r.RequestID, r.Start.Format(clockLayout), r.End.Format(clockLayout), r.Ran))
		}
	}
	return lines[:min(len(lines), maxEvidence)]
}

const clockLayout = "15:04:05.000"
