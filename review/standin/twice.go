package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The requests are like trim-check of tbl-plan: a
// resumable stream with two attempts, an objective of 300 ms and pauses of 250 ms.
const (
	checkEngines    = 6
	checkRequesters = 24
	checkEvents     = 10
	checkTime       = 10 * time.Second
	firstEvent      = 400 * time.Millisecond // of an engine at its usual speed
	checkStep       = 18 * time.Millisecond
	slowFactor      = 5
	slowTime        = 5 * time.Second
	// doubleWork is how long the engine before may go on.
	doubleWork = 400 * time.Millisecond
)

const twiceBounds = `Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.StableWindowMs=3000
Bounds.AckMs=4000
Bounds.CatchUpS=4
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigMs=2000
Bounds.RollbackSlackMs=250
Bounds.MaxStretchMs=5000
Bounds.StrictRevocation=false
Bounds.RevokeMs=5000
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.RetryBudgetSlack=56
Bounds.QuotaWindowS=8
Bounds.QuotaOverage=0.1
Bounds.QuotaSlack=190000
Bounds.RecoveryS=12
Bounds.PassMs=120
Bounds.RetryAfterS=10
`

// playTwice lets one of six engines turn slow, and checks that a stream does not go on at
// another engine while the one before still works on it (TWICE, Model engines).
func playTwice(w *world, trouble bool) bool {
	w.bounds = twiceBounds
	w.store.put("keyed.op", "config", configuration(map[string]any{
		"Name": "r-t7k2m9q", "Host": host, "PathPrefix": "/fiko270/", "Kind": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 300, "Priority": 1,
		"Service": "huvo11a", "MaxAttempts": 2, "AllowAnonymous": false, "SessionAffinity": true, "Resumable": true, "TargetGapMs": 250,
	}))
	began := time.Now()
	for i := range checkEngines {
		slow := func() bool {
			since := time.Since(began)
			return trouble && i == 0 && since > 5*time.Second && since < 5*time.Second+slowTime
		}
		w.addEngine(&engine{service: "huvo11a", slots: 9, queue: 54, run: func(x *exchange) bool { return checkStream(x, slow) }})
	}
	w.addEntry()
	w.start(w.entries[0], true)
	if !w.awaitReady(15 * time.Second) {
		w.cannotRun("the entry is not ready")
	}
	began = time.Now()
	var mu sync.Mutex
	var calls []*call
	var requesters sync.WaitGroup
	end := began.Add(checkTime)
	for n := range checkRequesters {
		requesters.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.Int64N(int64(2 * requesterPause))))
				a := w.trimCheck()
				mu.Lock()
				calls = append(calls, a)
				mu.Unlock()
				w.ledger.log("requester %d: %s sent %.3f s before, status %d, %d events, whole %t, error %v", n, a.id,
					a.ended.Sub(a.sent).Seconds(), a.status, strings.Count(a.body, "id:"), a.whole, a.err)
			}
		})
	}
	requesters.Wait()
	time.Sleep(3 * time.Second) // the engines end what they do
	return w.judgeTwice(calls)
}

// trimCheck sends one request on a new channel.
func (w *world) trimCheck() *call {
	a := &call{id: fmt.Sprintf("%016x", rand.Uint64()), entry: w.entries[0]}
	c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", a.entry.ip, frontPort), time.Second)
	check(err)
	defer c.Close()
	body := strings.Repeat("x", 9200)
	do(c, bufio.NewReader(c), fmt.Sprintf("POST /fiko270/c16 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Usage: 2890,%d\r\nPrompt-Prefix: 3e016982:60,%s:2830\r\nDeadline-Ms: 5000\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		host, a.id, checkEvents*5, a.id, apiKey, len(body), body), a, 2*time.Second, 5*time.Second)
	return a
}

// checkStream sends a stream. The engine does not watch its channel while it reads a prompt: it
// drops a request whose channel is closed when it next writes to it.
func checkStream(x *exchange, slow func() bool) bool {
	x.run.outcome = "dropped, the entry closed the channel"
	from, _ := strconv.Atoi(x.req.Header.Get("Last-Event-Id")) // 0 if absent
	factor := time.Duration(1)
	if slow() {
		factor = slowFactor
	}
	time.Sleep(factor * firstEvent)
	if x.ctx.Err() != nil || !x.beginStream() {
		return false
	}
	for n := from + 1; n <= checkEvents; n++ {
		time.Sleep(factor * checkStep)
		if x.ctx.Err() != nil || !x.write(fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, x.id, n)) {
			return false
		}
	}
	x.run.outcome = "complete"
	return x.endStream()
}

func (w *world) judgeTwice(calls []*call) bool {
	twice, whole := 0, 0
	for _, a := range calls {
		if a.whole && a.status == 200 {
			whole++
		}
		runs := w.ledger.of(a.id)
		for i := 1; i < len(runs); i++ {
			over := runs[i-1].to.Sub(runs[i].from)
			if runs[i-1].to.IsZero() || over > doubleWork {
				twice++
				w.verdict("TWICE: %s goes on at %s %.3f s after it began at %s, which works on it for %.3f s more (%s)", a.id, runs[i].engine,
					runs[i].from.Sub(runs[i-1].from).Seconds(), runs[i-1].engine, over.Seconds(), runs[i-1].outcome)
			}
		}
	}
	w.verdict("%d requests, %d served whole, %d at two engines at a time for over %s", len(calls), whole, twice, doubleWork)
	return twice == 0
}
