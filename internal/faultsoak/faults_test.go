package faultsoak

import (
	"syscall"
	"time"
)

// injectRandomFault injects one fault. Faults that last end by themselves within
// maxFaultDuration, so several may be present at a time.
func (w *world) injectRandomFault() {
	faults := []struct {
		name   string
		inject func()
	}{
		{"store down", func() { w.store.Unavailable.Store(true); w.endLater(func() { w.store.Unavailable.Store(false) }) }},
		{"store slow", func() { w.store.DelayMs.Store(300); w.endLater(func() { w.store.DelayMs.Store(0) }) }},
		{"store loses acknowledgements", func() {
			w.store.LoseAppendResponses.Store(true)
			w.endLater(func() { w.store.LoseAppendResponses.Store(false) })
		}},
		{"store forgets its history", w.store.TrimLogs},
		{"store comes back from an older copy", w.restoreStore},
		{"store unreachable for one entry", func() {
			p := w.randomEntry().storeProxy
			p.RefuseNew.Store(true)
			p.Reset(w.random, 1)
			w.endLater(p.ClearFaults)
		}},
		{"store silent for one entry", func() { p := w.randomEntry().storeProxy; p.DropFromTarget.Store(true); w.endLater(p.ClearFaults) }},
		{"configuration", w.writeConfiguration},
		{"entry killed", func() { w.randomEntry().signal(syscall.SIGKILL) }},
		{"entry stopped", func() { w.randomEntry().stop() }},
		{"entry paused", func() {
			e := w.randomEntry()
			e.signal(syscall.SIGSTOP)
			w.endLater(func() { e.signal(syscall.SIGCONT) })
		}},
		{"settings changed", func() { w.randomEntry().signal(syscall.SIGHUP) }},
		{"target silent", func() { p := w.randomEngine().proxy; p.DropFromTarget.Store(true); w.endLater(p.ClearFaults) }},
		{"requests to target lost", func() { p := w.randomEngine().proxy; p.DropToTarget.Store(true); w.endLater(p.ClearFaults) }},
		{"target slow", func() { p := w.randomEngine().proxy; p.DelayMs.Store(60); w.endLater(p.ClearFaults) }},
		{"target down", func() {
			p := w.randomEngine().proxy
			p.RefuseNew.Store(true)
			p.Reset(w.random, 1)
			w.endLater(p.ClearFaults)
		}},
		{"connections reset", func() { w.randomEngine().proxy.Reset(w.random, 0.5) }},
		{"target loses responses", func() {
			e := w.randomEngine()
			e.LoseResponse.Store(true)
			w.endLater(func() { e.LoseResponse.Store(false) })
		}},
		{"target truncates responses", func() {
			e := w.randomEngine()
			e.TruncateResponse.Store(true)
			w.endLater(func() { e.TruncateResponse.Store(false) })
		}},
		{"target doubles responses", func() {
			e := w.randomEngine()
			e.ExtraResponse.Store(true)
			w.endLater(func() { e.ExtraResponse.Store(false) })
		}},
		{"target fails", func() {
			e := w.randomEngine()
			e.FailRequests.Store(true)
			w.endLater(func() { e.FailRequests.Store(false) })
		}},
		{"target sends a head without end", func() {
			e := w.randomEngine()
			e.EndlessHead.Store(true)
			w.endLater(func() { e.EndlessHead.Store(false) })
		}},
		{"target sends a body without end", func() {
			e := w.randomEngine()
			e.EndlessBody.Store(true)
			w.endLater(func() { e.EndlessBody.Store(false) })
		}},
		{"target states a limit", func() {
			e := w.randomEngine()
			e.RateLimit.Store(1)
			w.endLater(func() { e.RateLimit.Store(0) })
		}},
		{"target asks for a pause", func() {
			e := w.randomEngine()
			e.PauseMs.Store(300)
			w.endLater(func() { e.PauseMs.Store(0) })
		}},
		{"target leaves and comes back", w.replaceTarget},
		{"invalid target record", func() { w.store.Put("keyed.servers", "stranger", []byte(`{"Service":7,"State":"odd"}`)) }},
	}
	k := faults[w.random.IntN(len(faults))]
	w.faultCounts[k.name]++
	if k.name != "entry stopped" && k.name != "settings changed" {
		w.recordDisruption()
	}
	k.inject()
}

// recordDisruption records that a fault injected now may cut off responses.
func (w *world) recordDisruption() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disruptions = append(w.disruptions, time.Now())
}

// maxFaultDuration is the longest time that a fault lasts.
const maxFaultDuration = 1500 * time.Millisecond

// endLater calls end after a random time below maxFaultDuration.
func (w *world) endLater(end func()) {
	time.AfterFunc(time.Duration(w.random.Int64N(int64(maxFaultDuration))), end)
}

func (w *world) randomEntry() *entry   { return w.entries[w.random.IntN(len(w.entries))] }
func (w *world) randomEngine() *engine { return w.engines[w.random.IntN(len(w.engines))] }

// replaceTarget drains a target or lets it crash, and starts it again under the same
// name after maxFaultDuration.
func (w *world) replaceTarget() {
	e := w.randomEngine()
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.removed {
		return
	}
	e.removed = true
	switch w.random.IntN(3) {
	case 0:
		w.putTargetRecord(e, "draining")
	case 1: // only its responses tell
		e.Leaving.Store(true)
	default:
		e.proxy.RefuseNew.Store(true)
		e.proxy.Reset(w.random, 1)
		e.record = nil
		w.store.Put("keyed.servers", e.ID, nil)
	}
	time.AfterFunc(maxFaultDuration, func() {
		e.proxy.ClearFaults()
		e.Leaving.Store(false)
		w.mu.Lock()
		defer w.mu.Unlock()
		e.removed, e.startedAt = false, time.Now()
		w.putTargetRecord(e, "ready")
	})
}

const (
	// The store is copied every copyInterval, and keptCopies copies are kept.
	copyInterval = 500 * time.Millisecond
	keptCopies   = 8
)

// copyStore copies the store at intervals until the test ends.
func (w *world) copyStore() {
	for w.t.Context().Err() == nil {
		time.Sleep(copyInterval)
		w.mu.Lock()
		w.copies = append(w.copies, w.store.Copy())
		w.copies = w.copies[max(0, len(w.copies)-keptCopies):]
		w.mu.Unlock()
	}
}

// restoreStore takes the store away for a moment and lets it come back from an older copy.
// The operator and the targets then write again what they wrote; what the entries wrote is
// gone.
func (w *world) restoreStore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.copies) == 0 {
		return
	}
	w.store.Unavailable.Store(true)
	w.store.Restore(w.copies[w.random.IntN(len(w.copies))])
	w.copies = nil
	w.store.Put("keyed.op", "config", w.configuration)
	for _, e := range w.engines {
		w.store.Put("keyed.servers", e.ID, e.record)
	}
	w.endLater(func() { w.store.Unavailable.Store(false) })
}

// endAllFaults waits until the faults that last have ended, and clears all faults of
// the store and the proxies.
func (w *world) endAllFaults() {
	time.Sleep(maxFaultDuration) // until the calls of endLater have run
	w.store.Unavailable.Store(false)
	w.store.LoseAppendResponses.Store(false)
	w.store.DelayMs.Store(0)
	for _, e := range w.entries {
		e.storeProxy.ClearFaults()
		e.signal(syscall.SIGCONT)
	}
	for _, e := range w.engines {
		e.proxy.ClearFaults()
	}
}
