package main

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

func init() { plays["moved"] = playMovedStore }

// playMovedStore moves the platform's store to another address, which the settings files state from
// then on. Two of the three entries get SIGHUP; the file of the third one changes without a signal.
// Then the operator takes a key away. Only the two are judged.
func playMovedStore(w *world) (violations []string, err error) {
	const told = 2
	const kept, revoked = "i9n73hh2b9wu3fexd9dn", "p4k20dq8sz1lm6rtv7ce"
	for range 2 {
		if err := w.addEngine("almacen", 1, 15*time.Millisecond); err != nil {
			return nil, err
		}
	}
	routes := []map[string]any{route("stock-lookup", plainPath, "idempotent", "almacen")}
	w.configure(3, []string{kept, revoked}, routes)
	if err := w.startEntries(3); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		ln, err := net.Listen("tcp4", w.ip+".2:0")
		if err != nil {
			return nil, err
		}
		w.storeAddress = ln.Addr().String()
		moved := w.store.serve(ln)
		for i, e := range w.entries {
			if err := w.writeSettings(e); err != nil {
				return nil, err
			}
			if i >= told {
				continue
			}
			if err := e.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				return nil, err
			}
		}
		w.note("the store is at %s, the settings files say so, %d of %d entries have got SIGHUP", w.storeAddress, told, len(w.entries))
		time.Sleep(2 * time.Second)
		w.server.Close()
		w.server = moved
		w.note("the former address of the store is closed")
	}
	time.Sleep(10 * time.Second)
	w.configure(8, []string{kept}, routes)
	time.Sleep(9 * time.Second) // ConfigMs and MaxStretchMs
	for round := range 5 {
		for _, e := range w.entries[:told] {
			if !e.isReady() {
				w.note("%s is not ready", e.name)
			}
			if r := w.send(e, http.MethodGet, fmt.Sprintf("%s%d", plainPath, round), revoked, "", 2*time.Second); r.status == http.StatusOK {
				violations = append(violations, fmt.Sprintf("request %s ran at %s with a key that was taken away more than 9 s before", r.id, e.name))
			}
			if r := w.send(e, http.MethodGet, fmt.Sprintf("%sk%d", plainPath, round), kept, "", 2*time.Second); r.status != http.StatusOK {
				w.note("request %s with a valid key was not served", r.id)
			}
		}
		time.Sleep(time.Second)
	}
	return violations, nil
}
