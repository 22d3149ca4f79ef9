package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { plays["leaving"] = playLeaving }

// playLeaving lets an engine drain, and exit while one long stream still runs there.
func playLeaving(w *world) (violations []string, err error) {
	const key = "i9n73hh2b9wu3fexd9dn"
	for range 8 {
		if err := w.addEngine("redactor", 80, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
	w.configure(3, []string{key}, []map[string]any{route("shelf-query", streamPath, "streaming", "redactor")})
	if err := w.startEntries(2); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var results []*result
	var group sync.WaitGroup
	group.Go(func() { results = w.sendAll(1, http.MethodPost, streamPath, key) })
	time.Sleep(time.Second)
	e := w.engineThatRuns()
	if e == nil {
		group.Wait()
		return nil, fmt.Errorf("the request runs at no engine")
	}
	if w.trouble {
		if err := e.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
			return nil, err
		}
		w.note("engine %s drains", e.id)
		time.Sleep(4500 * time.Millisecond)
		if err := e.cmd.Process.Signal(syscall.SIGUSR2); err != nil {
			return nil, err
		}
		w.note("engine %s exits", e.id)
	}
	group.Wait()
	for _, r := range results {
		if r.status == http.StatusOK && r.isComplete() && !r.isWhole() {
			violations = append(violations, fmt.Sprintf("request %s got 200 with signature %s and %d bytes that look complete and are not the whole answer", r.id, r.signature, len(r.body)))
		}
	}
	return violations, nil
}
