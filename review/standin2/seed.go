package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { plays["seed"] = playStaleSeed }

// playStaleSeed gives the entries three seeds, one of which is stale: the machine that it named is
// gone, and its address now belongs to an entry of another installation, which has a store, an
// engine and a configuration of its own.
func playStaleSeed(w *world) (violations []string, err error) {
	const key, otherKey = "i9n73hh2b9wu3fexd9dn", "p4k20dq8sz1lm6rtv7ce"
	for range 2 {
		if err := w.addEngine("almacen", 1, 15*time.Millisecond); err != nil {
			return nil, err
		}
	}
	w.configure(3, []string{key}, []map[string]any{route("alloc-commit", plainPath, "non_idempotent", "almacen")})
	other, err := w.beside()
	if err != nil {
		return nil, err
	}
	defer other.end()
	if err := other.addEngine("tank-screens", 1, 15*time.Millisecond); err != nil {
		return nil, err
	}
	w.note("the next configuration is that of the other installation, in its own store")
	other.configure(50, []string{otherKey}, []map[string]any{route("alarm-ack", "/tanks/", "non_idempotent", "tank-screens")})
	if err := other.startEntries(1); err != nil {
		return nil, err
	}
	w.port = other.port // InternalPorts are the same
	if w.trouble {
		w.seeds = []string{other.entries[0].control}
		w.note("the first of the three seeds is %s, an entry of the other installation", w.seeds[0])
	}
	if err := w.startEntries(2); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second) // longer than StableWindowMs
	denied, all := 0, 0
	for round := range 20 {
		for _, r := range w.sendAll(8, http.MethodPost, fmt.Sprintf("%s%d-", plainPath, round), key) {
			all++
			if r.status == http.StatusUnauthorized || r.status == http.StatusNotFound {
				denied++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.note("%d of %d requests, which the only configuration of this installation allows, got 401 or 404; %d may", denied, all, 5+all/500)
	if denied > 5+all/500 {
		violations = append(violations, fmt.Sprintf("%d of %d proper requests were ended with 401 or 404, %d may be", denied, all, 5+all/500))
	}
	return violations, nil
}
