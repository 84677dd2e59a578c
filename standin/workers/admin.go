package workers

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// adminHandler serves the admin API: records, counts, faults and reboots.
func (f *Fleet) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/records", f.getRecords)
	mux.HandleFunc("GET /admin/counts", f.getCounts)
	mux.HandleFunc("PUT /admin/faults", f.putFaults)
	mux.HandleFunc("POST /admin/reboot", f.postReboot)
	return mux
}

// Records returns the records so far, in the order in which the requests started.
func (f *Fleet) Records() []Record {
	return f.records.list()
}

// Counts returns a summary of the records.
func (f *Fleet) Counts() Counts {
	return f.records.counts(time.Now())
}

// SetFaults replaces a worker's faults. It returns false if the worker is unknown.
func (f *Fleet) SetFaults(host string, faults Faults) bool {
	w, ok := f.workers[host]
	if ok {
		w.setFaults(faults)
	}
	return ok
}

// Reboot takes a worker down for a time and cuts its running requests. It returns false if the worker is unknown.
func (f *Fleet) Reboot(host string, down time.Duration) bool {
	w, ok := f.workers[host]
	if ok {
		w.startReboot(down)
	}
	return ok
}

// getRecords writes one JSON object per line.
func (f *Fleet) getRecords(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/jsonl")
	encoder := json.NewEncoder(w)
	for _, record := range f.Records() {
		if err := encoder.Encode(record); err != nil {
			return
		}
	}
}

func (f *Fleet) getCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(f.Counts())
}

func (f *Fleet) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !f.SetFaults(r.URL.Query().Get("host"), faults) {
		http.Error(w, "unknown host", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (f *Fleet) postReboot(w http.ResponseWriter, r *http.Request) {
	seconds, err := strconv.ParseFloat(r.URL.Query().Get("seconds"), 64)
	if err != nil || seconds < 0 {
		http.Error(w, "seconds must be a non-negative number", http.StatusBadRequest)
		return
	}
	if !f.Reboot(r.URL.Query().Get("host"), time.Duration(seconds*float64(time.Second))) {
		http.Error(w, "unknown host", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
