package emulator

import (
	"encoding/json"
	"net/http"
	"time"
)

// HealthPath is the path of the health checks of all targets.
const HealthPath = "/healthz"

const reportPath = "/api/report"

func isHealthCheck(r *http.Request) bool {
	return r.Method == http.MethodGet && r.URL.Path == HealthPath
}

// serveHealth answers a health check. At a target with a profile it waits for a slot, or is
// rejected, as a request is. It is no run in the ledger.
func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	if t.Profile != nil {
		connOf(r).sendLate()
		if err := t.slots.enter(r.Context(), t.Slots, t.Profile.Queue, time.Now().Add(time.Hour)); err != nil {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer t.slots.leave()
		if _, ended := t.work(r.Context(), 0); ended {
			panic(http.ErrAbortHandler)
		}
		t.stateLoad(w.Header())
	}
	if t.Leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveReport answers a request for an engine's report, which needs no slot.
func (t *Target) serveReport(w http.ResponseWriter) {
	running, waiting, _ := t.slots.load()
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(map[string]any{
		"Stage": "both", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Busy": false, "Sequence": 0,
		"Queued": waiting, "Running": running, "KvUsed": 0, "KvTotal": 90000, "Handles": 0,
	})
	if err != nil {
		panic(http.ErrAbortHandler) // the client closed the connection
	}
}
