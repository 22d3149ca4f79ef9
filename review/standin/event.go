package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	eventCount = 6
	longEvent  = 4 // the event with the long line, and the one in which the engine stops
	// The lines of the long events have these lengths, without their end.
	shortestLine, longestLine = 4092, 4100
)

// playEvent lets an engine stop in the middle of an event of a resumable stream, and checks
// that the requester gets each event once and apart from the others (ORDER).
func playEvent(w *world, trouble bool) bool {
	w.bounds = stopBounds
	w.store.put("keyed.op", "config", configuration(map[string]any{
		"Name": "r-3j6q5rm", "Host": host, "PathPrefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 8000, "TargetLatencyMs": 800, "Priority": 0,
		"Service": "huvo11a", "MaxAttempts": 2, "AllowAnonymous": false, "SessionAffinity": true, "Resumable": true, "TargetGapMs": 600,
	}))
	var stopsInEvent atomic.Bool
	stopsInEvent.Store(trouble)
	for range 3 {
		w.addEngine(&engine{service: "huvo11a", slots: 4, queue: 24, run: func(x *exchange) bool { return longEventStream(x, stopsInEvent.Load()) }})
	}
	w.addEntry()
	w.start(w.entries[0], true)
	if !w.awaitReady(15 * time.Second) {
		w.cannotRun("the entry is not ready")
	}
	broken := 0
	for length := shortestLine; length <= longestLine; length++ {
		a := w.review(length)
		if !a.whole || a.status != 200 {
			w.ledger.log("line of %d bytes: status %d, whole %t, %v", length, a.status, a.whole, a.err)
			continue
		}
		if fault := wrongEvents(a, length); fault != "" {
			broken++
			w.verdict("ORDER: %s, line of %d bytes: %s", a.id, length, fault)
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.verdict("%d streams, %d with a fault", longestLine-shortestLine+1, broken)
	return broken == 0
}

// review sends one request. The length of the long line goes with it.
func (w *world) review(length int) *call {
	a := &call{id: fmt.Sprintf("%016x", rand.Uint64()), entry: w.entries[0]}
	c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", a.entry.ip, frontPort), time.Second)
	check(err)
	defer c.Close()
	do(c, bufio.NewReader(c), fmt.Sprintf("POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Usage: 3720,2000\r\nPrompt-Prefix: 5c1e07a2:60,%s:3660\r\nDeadline-Ms: 8000\r\nApi-Key: %s\r\nLine-Length: %d\r\nContent-Length: 2\r\n\r\n{}",
		host, a.id, a.id, apiKey, length), a, 4*time.Second, 8*time.Second)
	w.ledger.log("requester: %s, line of %d bytes, status %d, whole %t, error %v", a.id, length, a.status, a.whole, a.err)
	return a
}

// eventText returns the lines of an event, without the blank line that ends it.
func eventText(id string, n, length int) string {
	data := fmt.Sprintf("data: %s piece %d ", id, n)
	if n == longEvent {
		data += strings.Repeat("x", length-len(data))
	}
	return fmt.Sprintf("id: %d\n%s\n", n, data)
}

// longEventStream sends a stream. The first engine that runs it stops in the middle of the
// long event: after its line, before the blank line that ends it.
func longEventStream(x *exchange, stops bool) bool {
	x.run.outcome = "dropped, the entry closed the channel"
	length, _ := strconv.Atoi(x.req.Header.Get("Line-Length"))
	from, _ := strconv.Atoi(x.req.Header.Get("Last-Event-Id")) // 0 if absent
	if !x.beginStream() {
		return false
	}
	for n := from + 1; n <= eventCount; n++ {
		if !x.pause(10 * time.Millisecond) {
			return false
		}
		text := eventText(x.id, n, length)
		if stops && from == 0 && n == longEvent {
			x.write(text)
			x.pause(30 * time.Millisecond)
			x.run.outcome = "reset in the middle of an event"
			return false
		}
		if !x.write(text + "\n") {
			return false
		}
	}
	x.run.outcome = "complete"
	return x.endStream()
}

// wrongEvents says what is wrong with the events that a requester got, or returns "". Events
// are separated by blank lines.
func wrongEvents(a *call, length int) string {
	events := strings.Split(strings.TrimSuffix(a.body, "\n\n"), "\n\n")
	for i, e := range events {
		if want := strings.TrimSuffix(eventText(a.id, i+1, length), "\n"); e != want {
			return fmt.Sprintf("event %d of %d has %d lines and the ids %v", i+1, len(events), strings.Count(e, "\n")+1, ids(e))
		}
	}
	if len(events) != eventCount {
		return fmt.Sprintf("%d events of %d", len(events), eventCount)
	}
	return ""
}

// ids returns the ids in the lines of an event.
func ids(event string) (ids []string) {
	for line := range strings.SplitSeq(event, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}
