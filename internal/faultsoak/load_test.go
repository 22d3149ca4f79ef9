package faultsoak

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

// result is what a caller saw of one request.
type result struct {
	id, kind   string
	began, end time.Time
	entry      string
	status     int // 0: no response
	body       string
	err        error // of the connection, also after a status
}

var kinds = []string{"plain", "once", "stream", "resume"}

// interval is the time between requests; arrivals do not wait for responses.
const interval = 8 * time.Millisecond

// startLoad sends requests until the returned function is called, which waits for
// the last one.
func (w *world) startLoad() (stop func()) {
	ended := make(chan struct{})
	var group sync.WaitGroup
	random := newRandom(w.random.Uint64())
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-ended:
				return
			case <-time.After(interval):
			}
			id, kind, e := fmt.Sprintf("r%d", n), kinds[random.IntN(len(kinds))], w.entries[random.IntN(len(w.entries))]
			group.Go(func() { w.request(e, id, kind) })
		}
	})
	return func() {
		close(ended)
		group.Wait()
	}
}

func (w *world) request(e *entry, id, kind string) result {
	r := result{id: id, kind: kind, began: time.Now(), entry: e.name}
	defer func() {
		r.end = time.Now()
		w.check(r)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.results = append(w.results, r)
	}()
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/%s/x", e.ip, callerPort, kind), bytes.NewReader([]byte(id)))
	if err != nil {
		r.err = err
		return r
	}
	req.Host = "h"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Api-Key", "key")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := e.client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.err = resp.StatusCode, string(body), err
	return r
}

// check holds a response against what the targets sent.
func (w *world) check(r result) {
	switch {
	case r.status == 0:
	case r.status == http.StatusOK && (r.kind == "plain" || r.kind == "once"):
		if r.err == nil && r.body != emulator.PlainBody(r.id) {
			w.t.Errorf("%s %s: body %q is not the target's", r.kind, r.id, r.body)
		}
	case r.status == http.StatusOK:
		w.checkStream(r)
	case r.status == http.StatusTooManyRequests, r.status >= 500:
	default:
		w.t.Errorf("%s %s: status %d for a proper request", r.kind, r.id, r.status)
	}
}

func (w *world) checkStream(r result) {
	var whole strings.Builder
	for n := 1; n <= eventsOfStream; n++ {
		whole.WriteString(emulator.StreamEvent(r.id, n))
	}
	if r.err == nil && r.body != whole.String() {
		w.t.Errorf("%s %s: a stream that looks complete has %q", r.kind, r.id, r.body)
	}
	if !strings.HasPrefix(whole.String(), r.body) {
		w.t.Errorf("%s %s: events are missing or repeated: %q", r.kind, r.id, r.body)
	}
}

// checkLedger holds the promises against what ran.
func (w *world) checkLedger() {
	for _, r := range w.results {
		runs := w.ledger.Runs(r.id)
		if (r.kind == "once" || r.kind == "stream") && runs > 1 {
			w.t.Errorf("%s %s ran %d times", r.kind, r.id, runs)
		}
		if (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) && runs > 0 && r.kind != "plain" && r.kind != "resume" {
			w.t.Errorf("%s %s was told not to have run (%d), and ran", r.kind, r.id, r.status)
		}
		if r.err != nil && runs > 0 && w.calm(r) {
			w.t.Errorf("%s %s at %s was passed on and cut around planned work only, after %s: %v", r.kind, r.id, r.entry, r.end.Sub(r.began), r.err)
		}
	}
}

// calm reports whether no fault but planned stops came near a request.
func (w *world) calm(r result) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.dirty {
		if at.After(r.began.Add(-2*faultTime-quietTime)) && at.Before(r.end) {
			return false
		}
	}
	return true
}

// checkRecovered sends requests to each entry after the faults. The users ask for
// a quarter to be served.
func (w *world) checkRecovered() {
	for _, e := range w.entries {
		served := 0
		const asked = 20
		for n := range asked {
			if r := w.request(e, fmt.Sprintf("after-%s-%d", e.name, n), kinds[n%len(kinds)]); r.status == http.StatusOK && r.err == nil {
				served++
			}
		}
		if served < asked/4 {
			w.t.Errorf("%s serves %d of %d requests after the faults", e.name, served, asked)
		}
	}
}

func (w *world) tally() map[string]int {
	counts := make(map[string]int)
	for _, r := range w.results {
		name := fmt.Sprint(r.status)
		if r.err != nil {
			name += " cut"
		}
		counts[name]++
	}
	return counts
}
