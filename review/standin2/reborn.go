package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { plays["reborn"] = playReborn }

// playReborn kills an engine in the middle of its answers and starts it again under the Id that it
// had. No answer that ends early may look complete.
func playReborn(w *world) (violations []string, err error) {
	const key = "i9n73hh2b9wu3fexd9dn"
	for range 4 {
		if err := w.addEngine("redactor", 24, 50*time.Millisecond); err != nil {
			return nil, err
		}
	}
	for range 4 {
		if err := w.addEngine("almacen", 8, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
	w.configure(3, []string{key}, []map[string]any{
		route("intake-summary", streamPath, "streaming", "redactor"), route("alloc-commit", plainPath, "non_idempotent", "almacen"),
	})
	if err := w.startEntries(2); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	var streams, plain []*result
	var group sync.WaitGroup
	group.Go(func() { streams = w.sendAll(16, http.MethodPost, streamPath, key) })
	group.Go(func() { plain = w.sendAll(12, http.MethodPost, plainPath, key) })
	time.Sleep(430 * time.Millisecond)
	if w.trouble {
		var crashed []*engineProcess
		for _, e := range []*engineProcess{w.engines[0], w.engines[4]} {
			w.note("engine %s of %s is killed", e.id, e.service)
			if err := e.cmd.Process.Kill(); err != nil {
				return nil, err
			}
			crashed = append(crashed, e)
		}
		time.Sleep(200 * time.Millisecond)
		for _, e := range crashed {
			if err := w.startEngine(e); err != nil {
				return nil, err
			}
			w.note("engine %s of %s starts again", e.id, e.service)
		}
	}
	group.Wait()
	served := 0
	for _, r := range append(streams, plain...) {
		if r.status == http.StatusOK && r.isComplete() && !r.isWhole() {
			violations = append(violations, fmt.Sprintf("request %s got 200 with signature %s and %d bytes that look complete and are not the whole answer", r.id, r.signature, len(r.body)))
		}
		if r.status == http.StatusOK && r.isWhole() {
			served++
		}
	}
	w.note("%d of %d requests were served whole", served, len(streams)+len(plain))
	if served == 0 {
		return violations, fmt.Errorf("no request was served")
	}
	return violations, nil
}
