package faultsoak

import (
	"syscall"
	"time"
)

// fault injects one fault and, for most, arranges its end. Faults overlap.
func (w *world) fault() {
	kinds := []struct {
		name   string
		inject func()
	}{
		{"store down", func() { w.store.Unavailable.Store(true); w.later(func() { w.store.Unavailable.Store(false) }) }},
		{"store slow", func() { w.store.DelayMs.Store(300); w.later(func() { w.store.DelayMs.Store(0) }) }},
		{"store loses acknowledgements", func() {
			w.store.LoseAppendResponses.Store(true)
			w.later(func() { w.store.LoseAppendResponses.Store(false) })
		}},
		{"store forgets its history", w.store.TrimLogs},
		{"store unreachable for one entry", func() {
			p := w.entry().toStore
			p.RefuseNew.Store(true)
			p.Reset(w.random, 1)
			w.later(p.ClearFaults)
		}},
		{"store silent for one entry", func() { p := w.entry().toStore; p.DropFromTarget.Store(true); w.later(p.ClearFaults) }},
		{"configuration", w.configure},
		{"entry killed", func() { w.entry().signal(syscall.SIGKILL) }},
		{"entry stopped", func() { w.entry().stop() }},
		{"entry paused", func() {
			e := w.entry()
			e.signal(syscall.SIGSTOP)
			w.later(func() { e.signal(syscall.SIGCONT) })
		}},
		{"settings changed", func() { w.entry().signal(syscall.SIGHUP) }},
		{"target silent", func() { p := w.engine().proxy; p.DropFromTarget.Store(true); w.later(p.ClearFaults) }},
		{"target not reached by requests", func() { p := w.engine().proxy; p.DropToTarget.Store(true); w.later(p.ClearFaults) }},
		{"target slow", func() { p := w.engine().proxy; p.DelayMs.Store(60); w.later(p.ClearFaults) }},
		{"target down", func() {
			p := w.engine().proxy
			p.RefuseNew.Store(true)
			p.Reset(w.random, 1)
			w.later(p.ClearFaults)
		}},
		{"connections reset", func() { w.engine().proxy.Reset(w.random, 0.5) }},
		{"target loses responses", func() { e := w.engine(); e.LoseResponse.Store(true); w.later(func() { e.LoseResponse.Store(false) }) }},
		{"target tears responses", func() {
			e := w.engine()
			e.TruncateResponse.Store(true)
			w.later(func() { e.TruncateResponse.Store(false) })
		}},
		{"target doubles responses", func() { e := w.engine(); e.ExtraResponse.Store(true); w.later(func() { e.ExtraResponse.Store(false) }) }},
		{"target fails", func() { e := w.engine(); e.FailRequests.Store(true); w.later(func() { e.FailRequests.Store(false) }) }},
		{"target leaves and comes back", w.replaceTarget},
		{"record of another writer", func() { w.store.Put("keyed.servers", "stranger", []byte(`{"Service":7,"State":"odd"}`)) }},
	}
	k := kinds[w.random.IntN(len(kinds))]
	w.faults[k.name]++
	if k.name != "entry stopped" && k.name != "settings changed" {
		w.mark()
	}
	k.inject()
}

// mark records that requests may be cut by a fault around now.
func (w *world) mark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dirty = append(w.dirty, time.Now())
}

// faultTime bounds how long a fault lasts.
const faultTime = 1500 * time.Millisecond

func (w *world) later(end func()) {
	time.AfterFunc(time.Duration(w.random.Int64N(int64(faultTime))), end)
}

func (w *world) entry() *entry   { return w.entries[w.random.IntN(len(w.entries))] }
func (w *world) engine() *engine { return w.engines[w.random.IntN(len(w.engines))] }

// replaceTarget drains a target, or lets it crash, and starts it again under its
// name.
func (w *world) replaceTarget() {
	e := w.engine()
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.gone {
		return
	}
	e.gone = true
	if w.random.IntN(2) == 0 {
		w.announce(e, "draining")
	} else {
		e.proxy.RefuseNew.Store(true)
		e.proxy.Reset(w.random, 1)
		w.store.Put("keyed.servers", e.ID, nil)
	}
	time.AfterFunc(faultTime, func() {
		e.proxy.ClearFaults()
		w.mu.Lock()
		defer w.mu.Unlock()
		e.gone, e.born = false, time.Now()
		w.announce(e, "ready")
	})
}

// heal ends all faults.
func (w *world) heal() {
	time.Sleep(faultTime) // the ends that are arranged
	w.store.Unavailable.Store(false)
	w.store.LoseAppendResponses.Store(false)
	w.store.DelayMs.Store(0)
	for _, e := range w.entries {
		e.toStore.ClearFaults()
		e.signal(syscall.SIGCONT)
	}
	for _, e := range w.engines {
		e.proxy.ClearFaults()
	}
}
