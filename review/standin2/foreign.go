package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { plays["foreign"] = playForeignEntry }

// playForeignEntry lets another writer put an entry into servers/ that lacks fields. Such an entry
// names no engine to use. At its address, a web server of that writer serves its own pages.
func playForeignEntry(w *world) (violations []string, err error) {
	const key = "i9n73hh2b9wu3fexd9dn"
	for range 2 {
		if err := w.addEngine("almacen", 1, 15*time.Millisecond); err != nil {
			return nil, err
		}
	}
	w.configure(3, []string{key}, []map[string]any{route("alloc-commit", plainPath, "non_idempotent", "almacen")})
	if err := w.startEntries(2); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var got atomic.Int64
	if w.trouble {
		ln, err := net.Listen("tcp4", w.ip+".3:0")
		if err != nil {
			return nil, err
		}
		go http.Serve(ln, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/" {
				fmt.Fprintln(rw, "status page")
				return
			}
			got.Add(1)
			w.note("the web server of another writer gets %s %s, request %q, tenant %q", r.Method, r.URL.Path, r.Header.Get("Request-Id"), r.Header.Get("Tenant"))
			http.NotFound(rw, r)
		}))
		w.store.putJSON("keyed.servers", "w-status-1", map[string]any{"Service": "almacen", "Address": ln.Addr().String(), "State": "ready"})
		w.note("another writer puts servers/w-status-1, without Zone, Version, Slots, ColdRemainingMs and Sequence")
	}
	time.Sleep(4 * time.Second)
	denied, all := 0, 0
	for round := range 20 {
		for _, r := range w.sendAll(8, http.MethodPost, fmt.Sprintf("%s%d-", plainPath, round), key) {
			all++
			if r.status >= 300 && r.status < 500 && r.status != 408 && r.status != 421 && r.status != 429 && r.signature == "" {
				denied++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.note("%d of %d requests were ended with a 3xx or 4xx that no engine has signed; %d may be; the web server got %d requests", denied, all, 5+all/500, got.Load())
	if denied > 5+all/500 {
		violations = append(violations, fmt.Sprintf("%d of %d proper requests were ended with a 4xx that no engine gave, %d may be", denied, all, 5+all/500))
	}
	return violations, nil
}
