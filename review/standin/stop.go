package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// The deployment and the requests are like shift-summary of loonie-lane-grown: one zone with
// three entries and eight engines.
const (
	stopEntries, stopEngines = 3, 8
	stopRequesters           = 36
	requesterPause           = 250 * time.Millisecond // mean, between two requests of a requester
	streamEvents             = 9
	streamLimit              = 5 * time.Second
	streamPatience           = 4800 * time.Millisecond // four times the objective of 1.2 s
	grace                    = 8 * time.Second
	// Every preemptEach-th stream of an engine is preempted after its third event, and goes on
	// after preemptTime.
	preemptEach = 8
	preemptTime = 2800 * time.Millisecond
)

const stopBounds = `Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.StableWindowMs=4000
Bounds.AckMs=6000
Bounds.CatchUpS=6
Bounds.DrainMs=3000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigMs=3000
Bounds.RollbackSlackMs=250
Bounds.MaxStretchMs=6000
Bounds.StrictRevocation=false
Bounds.RevokeMs=5000
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.RetryBudgetSlack=102
Bounds.QuotaWindowS=8
Bounds.QuotaOverage=0.1
Bounds.QuotaSlack=190000
Bounds.RecoveryS=15
Bounds.PassMs=200
Bounds.RetryAfterS=10
`

// configuration returns the operator's configuration with the given routes.
func configuration(routes ...map[string]any) map[string]any {
	return map[string]any{
		"Version": 7, "Routes": routes,
		"Services": []map[string]any{{"Name": "huvo11a", "HealthPath": "/healthz", "MaxConnections": 510, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []map[string]any{{"Name": tenant, "ApiKeys": []string{apiKey}}},
	}
}

// playStop stops two of three entries of a zone, as a roll-out of the system does, while
// engines preempt some streams. It checks LOST around planned work.
func playStop(w *world, trouble bool) bool {
	w.bounds = stopBounds
	w.store.put("keyed.op", "config", configuration(map[string]any{
		"Name": "r-mvtdhbj", "Host": host, "PathPrefix": "/pufi791/", "Kind": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 1200, "Priority": 1,
		"Service": "huvo11a", "MaxAttempts": 1, "AllowAnonymous": false, "SessionAffinity": true, "Resumable": false, "TargetGapMs": 600,
	}))
	for range stopEngines {
		w.addEngine(&engine{service: "huvo11a", slots: 4, queue: 24, run: preemptingStream})
	}
	for range stopEntries {
		w.addEntry()
	}
	for _, e := range w.entries {
		w.start(e, true)
	}
	if !w.awaitReady(15 * time.Second) {
		w.cannotRun("the entries are not ready")
	}
	go w.probe()
	var mu sync.Mutex
	var calls []*call
	var requesters sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for n := range stopRequesters {
		requesters.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.Int64N(int64(2 * requesterPause))))
				a := w.summarize(n)
				mu.Lock()
				calls = append(calls, a)
				mu.Unlock()
				w.ledger.log("requester %d: %s at %s sent %.3f s before, status %d, %d events, whole %t, error %v", n, a.id, a.entry.name,
					a.ended.Sub(a.sent).Seconds(), a.status, strings.Count(a.body, "id:"), a.whole, a.err)
			}
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		for _, e := range w.entries[:2] {
			w.stop(e, grace)
		}
	}
	requesters.Wait()
	return w.judgeStop(calls)
}

// summarize sends one request on a new channel.
func (w *world) summarize(requester int) *call {
	a := &call{id: fmt.Sprintf("%016x", rand.Uint64()), entry: w.pick(requester)}
	c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", a.entry.ip, frontPort), time.Second)
	if err != nil {
		a.err, a.ended = err, time.Now()
		a.sent = a.ended
		return a
	}
	defer c.Close()
	body := strings.Repeat("x", 9200)
	do(c, bufio.NewReader(c), fmt.Sprintf("POST /pufi791/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Usage: 2890,%d\r\nPrompt-Prefix: 5c1e07a2:60,%s:2830\r\nDeadline-Ms: 5000\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		host, a.id, streamEvents*6, a.id, apiKey, len(body), body), a, streamPatience, streamLimit)
	return a
}

// preemptingStream sends a stream of nine events. When the memory of the engine has run out,
// which is so at every preemptEach-th stream here, the newest one is preempted in the middle
// and read again from the start.
func preemptingStream(x *exchange) bool {
	x.run.outcome = "dropped, the entry closed the channel"
	if !x.pause(120 * time.Millisecond) {
		return false
	}
	if !x.beginStream() {
		return false
	}
	for n := 1; n <= streamEvents; n++ {
		if n == 4 && x.number%preemptEach == 0 {
			x.engine.ledger.log("engine %s preempts %s", x.engine.id, x.id)
			if !x.pause(preemptTime) {
				return false
			}
		}
		if !x.pause(25*time.Millisecond) || !x.write(fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, x.id, n)) {
			return false
		}
	}
	x.run.outcome = "complete"
	return x.endStream()
}

// judgeStop checks LOST for a SIGTERM: a request that an entry has passed on to an engine gets
// a complete answer.
func (w *world) judgeStop(calls []*call) bool {
	passed, lost, excused, other, refused, whole := 0, 0, 0, 0, 0, 0
	for _, a := range calls {
		runs := w.ledger.of(a.id)
		if a.whole {
			whole++
			if a.status == 503 {
				refused++
			}
		}
		if len(runs) == 0 {
			continue
		}
		passed++
		if a.whole {
			continue
		}
		r, term := runs[len(runs)-1], a.entry.termAt(a.sent)
		took := a.ended.Sub(a.sent)
		switch {
		case took > streamLimit-200*time.Millisecond:
			other++ // its time limit or the route's timeout was reached
		case term.IsZero() || a.ended.Before(term) || a.ended.After(term.Add(grace+time.Second)):
			other++
			w.verdict("cut without a SIGTERM: %s after %.3f s, %v", a.id, took.Seconds(), a.err)
		case !a.sent.After(term.Add(3*time.Second)) && (r.to.IsZero() || r.to.After(term.Add(grace*5/6))):
			excused++
		default:
			lost++
			w.verdict("LOST: %s was sent to %s %.3f s after its SIGTERM, ran at %s from %.3f s on, and its channel ended %.3f s after the SIGTERM, %.3f s after it was sent, with status %d, %d of %d events and %v",
				a.id, a.entry.name, a.sent.Sub(term).Seconds(), r.engine, r.from.Sub(term).Seconds(), a.ended.Sub(term).Seconds(), took.Seconds(), a.status, strings.Count(a.body, "id:"), streamEvents, a.err)
		}
	}
	w.verdict("%d requests, %d passed on, %d answered whole (%d refused with 503), %d cut and excused by the rule, %d past their time limit or cut otherwise, %d LOST", len(calls), passed, whole, refused, excused, other, lost)
	return lost == 0
}
