package logtest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
)

// record is a record in the JSON form of the platform's interface.
type record struct {
	Offset uint64    `json:"offset"`
	ID     string    `json:"id"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Handler returns a handler that serves the log over the platform's HTTP interface. A
// failed call closes the connection without a response.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var body struct{ Records []record }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offsets := []uint64{}
	for _, rec := range body.Records {
		off, err := l.Append(r.Context(), r.PathValue("stream"), logstream.Entry{ID: rec.ID, Data: rec.Data})
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		offsets = append(offsets, off)
	}
	json.NewEncoder(w).Encode(map[string]any{"offsets": offsets})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(query.Get("wait")) // absent: 0
	page, err := l.Read(r.Context(), r.PathValue("stream"), from, limit, wait)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	records := []record{}
	for _, rec := range page.Records {
		records = append(records, record(rec))
	}
	json.NewEncoder(w).Encode(map[string]any{"first": page.First, "next": page.Next, "end": page.End, "records": records})
}
