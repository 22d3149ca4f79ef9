package faultsoak

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crashPart is the part of a prompt under which engines crash, and crashBody the body of
	// a request under which plain services do.
	crashPart = "crash"
	crashBody = "crash"
	// From learnTime after the crash from which a kind of crashes counts on, at most
	// toleratedCrashes more may follow; from twice that time on, sound requests of the same
	// kind must be served at least half as often as before.
	learnTime        = 3 * time.Second
	toleratedCrashes = 3
	// restartTime is the time after which a crashed target is back.
	restartTime = 1500 * time.Millisecond
)

// crashKind is a kind of requests that crash targets, and the sound requests of the same kind.
type crashKind struct {
	name       string
	learnAfter int // number of crashes from which learnTime counts

	mu           sync.Mutex
	crashes      []time.Time
	sent, served int // sound requests
}

// crashUnder returns what a request does to the engine before the response begins, nil if it
// is a sound one. After a crash under crashBody the address still accepts connections.
func (w *world) crashUnder(e *engine) func(http.Header, []byte) func() {
	return func(h http.Header, body []byte) func() {
		switch {
		case strings.Contains(h.Get("Prompt-Prefix"), crashPart+":"):
			return func() { w.crash(e, &w.partCrashes, false) }
		case string(body) == crashBody:
			return func() { w.crash(e, &w.requestCrashes, true) }
		default:
			return nil
		}
	}
}

// crash ends an engine until it is started again. Its address refuses connections or, with
// accepts set, accepts and resets them.
func (w *world) crash(e *engine, k *crashKind, accepts bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k.mu.Lock()
	k.crashes = append(k.crashes, time.Now())
	k.mu.Unlock()
	if e.removed || w.closed {
		return
	}
	w.disruptions = append(w.disruptions, time.Now()) // before the first response is cut off
	e.removed = true
	if e.proxy.RefuseNew.Store(accepts); !accepts {
		e.listener.Close()
	}
	e.proxy.Reset(w.random, 1)
	time.AfterFunc(restartTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.closed {
			return
		}
		if e.proxy.RefuseNew.Store(false); !accepts {
			w.serveEngine(e, e.proxyAddress)
		}
		e.removed, e.startedAt = false, time.Now()
		w.putTargetRecord(e, "ready")
	})
}

// take returns the numbers of sound requests since the last call.
func (k *crashKind) take() (sent, served int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	sent, served = k.sent, k.served
	k.sent, k.served = 0, 0
	return sent, served
}

// countSound counts a sound request.
func (k *crashKind) countSound(r result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent++
	if r.status == http.StatusOK && r.err == nil {
		k.served++
	}
}

// check reports more crashes than are tolerated, and sound requests that are not served.
func (k *crashKind) check(w *world, sentBefore, servedBefore int) {
	sent, served := k.take()
	late := 0
	for _, at := range k.crashes {
		if len(k.crashes) >= k.learnAfter && at.After(k.crashes[k.learnAfter-1].Add(learnTime)) {
			late++
		}
	}
	w.t.Logf("%s: %d crashes, %d of them late; sound requests served: %d of %d before, %d of %d after", k.name, len(k.crashes), late, servedBefore, sentBefore, served, sent)
	if len(k.crashes) == 0 || late > toleratedCrashes {
		w.t.Errorf("%s: %d crashes, %d of them %s after crash %d or later, tolerated %d", k.name, len(k.crashes), late, learnTime, k.learnAfter, toleratedCrashes)
	}
	if 2*served*sentBefore < servedBefore*sent {
		w.t.Errorf("%s: %d of %d sound requests were served after the crashes, %d of %d before; want at least half as many", k.name, served, sent, servedBefore, sentBefore)
	}
}

// checkCrashes sends sound requests, and then for some seconds also requests under which
// targets crash: some with a part in their prompts, and one that comes again and again.
func (w *world) checkCrashes() {
	var group sync.WaitGroup
	n, crashRoute := 0, []string{"plain", "once"}[w.random.IntN(2)]
	send := func(k *crashKind, route, body, parts string) {
		n++
		id, entry := fmt.Sprintf("crash-%d", n), w.randomEntry()
		extra := map[string]string{}
		if parts != "" {
			extra["Prompt-Prefix"], extra["Token-Usage"] = parts+",own-"+id+":100", "200,40"
		}
		group.Go(func() {
			r := w.sendBody(entry, id, route, cmp.Or(body, id), extra)
			if body != crashBody && !strings.Contains(parts, crashPart) {
				k.countSound(r)
			}
		})
	}
	run := func(d time.Duration, withCrashes bool) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
			send(&w.partCrashes, "resume", "", "shared:60")
			send(&w.requestCrashes, "plain", "", "")
			if withCrashes && w.random.IntN(4) == 0 {
				send(&w.partCrashes, "resume", "", "shared:60,"+crashPart+":40")
				send(&w.requestCrashes, crashRoute, crashBody, "")
			}
		}
	}
	run(2*time.Second, false)
	group.Wait()
	partSent, partServed := w.partCrashes.take()
	requestSent, requestServed := w.requestCrashes.take()
	run(9*time.Second, true)
	w.partCrashes.take() // most of these were sent while the entries learned
	w.requestCrashes.take()
	run(2*time.Second, true)
	group.Wait()
	w.partCrashes.check(w, partSent, partServed)
	w.requestCrashes.check(w, requestSent, requestServed)
}

// checkMemory reports entries that have taken more memory than they may.
func (w *world) checkMemory() {
	for _, e := range w.entries {
		e.mu.Lock()
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.process.Process.Pid))
		e.mu.Unlock()
		if err != nil {
			w.t.Log(err) // it has just ended
			continue
		}
		for line := range strings.Lines(string(b)) {
			fields := strings.Fields(line)
			if len(fields) != 3 || fields[0] != "VmHWM:" {
				continue
			}
			if kib, err := strconv.Atoi(fields[1]); err != nil || kib>>10 > memoryLimitMB {
				w.t.Errorf("%s has taken %s KiB, its limit is %d MiB", e.name, fields[1], memoryLimitMB)
			}
		}
	}
}
