package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { plays["leaving"] = playLeaving }

// playLeaving lets an engine drain, and exit while one long stream still runs there. Each engine has
// two worker processes at one listener, as servers do that fork. They end one after the other.
func playLeaving(w *world) (violations []string, err error) {
	const key = "i9n73hh2b9wu3fexd9dn"
	for range 8 {
		if err := w.addEngine("redactor", 80, 100*time.Millisecond); err != nil {
			return nil, err
		}
		if err := w.startEngine(w.engines[len(w.engines)-1]); err != nil {
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
	e, running := w.engineThatRuns()
	if e == nil {
		group.Wait()
		return nil, fmt.Errorf("the request runs at no engine")
	}
	if w.trouble {
		for _, worker := range e.workers {
			if err := worker.Process.Signal(syscall.SIGUSR1); err != nil {
				return nil, err
			}
		}
		w.note("engine %s drains", e.id)
		time.Sleep(4500 * time.Millisecond)
		w.note("engine %s exits: first process %d, which writes the stream", e.id, running.Process.Pid)
		if err := running.Process.Kill(); err != nil {
			return nil, err
		}
		time.Sleep(150 * time.Millisecond)
		for _, worker := range e.workers {
			_ = worker.Process.Kill() // the first one has ended
		}
		w.note("engine %s has exited", e.id)
	}
	group.Wait()
	for _, r := range results {
		if r.status == http.StatusOK && r.isComplete() && !r.isWhole() {
			violations = append(violations, fmt.Sprintf("request %s got 200 with signature %s and %d bytes that look complete and are not the whole answer", r.id, r.signature, len(r.body)))
		}
	}
	return violations, nil
}
