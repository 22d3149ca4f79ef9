package faultsoak

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crashPart is the part of a prompt under which engines crash.
	crashPart = "crash"
	// From learnTime after the fifth crash on, at most toleratedCrashes more requests with
	// the part may reach engines; from twice that time on, sound requests of the same kind
	// must be served at least half as often as before.
	learnTime        = 3 * time.Second
	toleratedCrashes = 3
	// restartTime is the time after which a crashed engine is back.
	restartTime = 1500 * time.Millisecond
)

// crash ends an engine, which refuses connections until it is started again.
func (w *world) crash(e *engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = append(w.crashes, time.Now())
	if e.removed || w.closed {
		return
	}
	w.disruptions = append(w.disruptions, time.Now()) // before the first response is cut off
	e.removed = true
	e.listener.Close()
	e.proxy.Reset(w.random, 1)
	time.AfterFunc(restartTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.closed {
			return
		}
		w.serveEngine(e, e.proxyAddress)
		e.removed, e.startedAt = false, time.Now()
		w.putTargetRecord(e, "ready")
	})
}

// promptLoad counts requests with prompts.
type promptLoad struct {
	mu           sync.Mutex
	sent, served int
}

func (l *promptLoad) take() (sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, served = l.sent, l.served
	l.sent, l.served = 0, 0
	return sent, served
}

// checkPromptParts sends sound requests, and then for some seconds also requests with a
// part under which engines crash. It reports more crashes than are tolerated and sound
// requests that are not served.
func (w *world) checkPromptParts() {
	var group sync.WaitGroup
	var load promptLoad
	n := 0
	send := func(parts string) {
		n++
		id, entry := fmt.Sprintf("prompt-%d", n), w.randomEntry()
		group.Go(func() {
			r := w.send(entry, id, "resume", map[string]string{"Prompt-Prefix": parts + ",own-" + id + ":100", "Token-Usage": "200,40"})
			if strings.Contains(parts, crashPart) {
				return
			}
			load.mu.Lock()
			defer load.mu.Unlock()
			load.sent++
			if r.status == http.StatusOK && r.err == nil {
				load.served++
			}
		})
	}
	run := func(d time.Duration, withCrashes bool) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
			send("shared:60")
			if withCrashes && w.random.IntN(4) == 0 {
				send("shared:60," + crashPart + ":40")
			}
		}
	}
	run(2*time.Second, false)
	group.Wait()
	sentBefore, servedBefore := load.take()
	run(9*time.Second, true)
	load.take() // most of these were sent while the entries learned
	run(2*time.Second, true)
	group.Wait()
	sent, served := load.take()
	w.mu.Lock()
	defer w.mu.Unlock()
	late := 0
	for _, at := range w.crashes {
		if len(w.crashes) >= 5 && at.After(w.crashes[4].Add(learnTime)) {
			late++
		}
	}
	w.t.Logf("%d crashes, %d of them late; sound requests served: %d of %d before, %d of %d after", len(w.crashes), late, servedBefore, sentBefore, served, sent)
	if len(w.crashes) == 0 || late > toleratedCrashes {
		w.t.Errorf("%d engines crashed, %d of them %s after the fifth or later, tolerated %d", len(w.crashes), late, learnTime, toleratedCrashes)
	}
	if 2*served*sentBefore < servedBefore*sent {
		w.t.Errorf("%d of %d sound requests were served after the crashes, %d of %d before; want at least half as many", served, sent, servedBefore, sentBefore)
	}
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
