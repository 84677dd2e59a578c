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

func (w *requestWorld) readHistory() error {
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

// readRecords reads what the workers noted, and keeps it with the logs.
func (w *requestWorld) readRecords(ctx context.Context) error {
	admin := address(w.real(), standinByte, adminPort)
	if w.call(ctx, http.MethodGet, admin+"/admin/counts", nil, &w.seen.Counts) != http.StatusOK {
		return errors.New("the workers give no counts")
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

// evidence are the lines of callers and workers about a request or a key.
func (w *requestWorld) evidence(id string) (lines []string) {
	if id == "" {
		return nil
	}
	for _, e := range w.seen.Exchanges {
		if e.ID == id || e.Key == id {
			lines = append(lines, fmt.Sprintf("caller: %s of %s sent %s ended %s: %s (%d)", e.ID, e.Target, e.Sent.Format(clock), e.Ended.Format(clock), e.Result, e.Status))
		}
	}
	for _, r := range w.seen.Records {
		if r.RequestID == id || r.Key == id {
			lines = append(lines, fmt.Sprintf("worker %s: %s began %s ended %s, ran %t", r.Host, r.RequestID, r.Start.Format(clock), r.End.Format(clock), r.Ran))
		}
	}
	return lines[:min(len(lines), evidenceKept)]
}

const clock = "15:04:05.000"
