package soak

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream/logtest"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// bundleRetention is longer than any outage of a case, so that a checkpoint
	// is always written in time.
	bundleRetention = 5 * time.Minute
	// convergence is the time within which an accepted bundle is in effect
	// everywhere (guarantee P6).
	convergence = 5 * time.Second
)

// operator signs all documents.
var operator = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

var operators = state.Signers{Required: 1, Keys: map[string]string{
	"anna": base64.StdEncoding.EncodeToString(operator.Public().(ed25519.PublicKey)),
}}

// reader is a process that keeps the bundle in effect.
type reader struct {
	process
	store *bundle.Store
	// floor is the version accepted before the start. What is put into effect from
	// the log is at least that; a peer that is behind may offer less.
	floor   uint64
	offered atomic.Bool
}

// bundleWorld holds the readers of one case and what was published.
type bundleWorld struct {
	ghost    *ghost
	log      logtest.Log
	readers  []*reader
	inEffect map[uint64]state.BundleID // by version, seen at any reader
	verdicts map[state.BundleID]bundle.Outcome
	newest   atomic.Uint64 // version accepted
}

// observe checks a bundle that is in effect at a process, after the given
// version.
func (w *bundleWorld) observe(b state.AcceptedBundle, before uint64) {
	id := bundle.ID(b.Document)
	w.ghost.mu.Lock()
	defer w.ghost.mu.Unlock()
	if b.Version < before {
		w.ghost.failLocked("bundle version went back from %d to %d", before, b.Version)
	}
	if other, ok := w.inEffect[b.Version]; ok && other != id {
		w.ghost.failLocked("two bundles of version %d are in effect", b.Version)
	}
	w.inEffect[b.Version] = id
	w.judge(id)
}

// judge compares what was reported about a bundle with what is in effect.
// w.ghost.mu is held.
func (w *bundleWorld) judge(id state.BundleID) {
	switch o := w.verdicts[id]; o {
	case bundle.OutcomeSuperseded, bundle.OutcomeRefused, bundle.OutcomeNotAppended:
		for version, other := range w.inEffect {
			if other == id {
				w.ghost.failLocked("bundle of version %d was reported as %s and is in effect", version, o)
			}
		}
	}
}

func (w *bundleWorld) start(i int) {
	r := &reader{floor: w.newest.Load()}
	r.ctx, r.kill = context.WithCancel(context.Background())
	r.store = bundle.NewStore(bundle.Config{
		Log: processLog{&r.process, &w.log}, InitialSigners: operators, Retention: bundleRetention, Logger: zap.NewNop(),
	})
	w.readers[i] = r
	go r.store.Run(r.ctx)
	go func() {
		updates, stop := r.store.Subscribe()
		defer stop()
		var version uint64
		for {
			select {
			case <-updates:
				if b := r.store.Bundle(); b.Version > 0 {
					w.observe(b, version)
					if b.Version < r.floor && !r.offered.Load() {
						w.ghost.fail("version %d was put into effect by a process that started after version %d was accepted", b.Version, r.floor)
					}
					version = b.Version
				}
			case <-r.ctx.Done():
				return
			}
		}
	}()
}

// publish publishes on top of what the reader has in effect.
func (w *bundleWorld) publish(r *reader, note string) {
	base := r.store.Bundle()
	next := newBundle(base.Version+1, 0)
	next.Note, next.Signers = note, operators
	if base.Version > 0 {
		next.Base = bundle.ID(base.Document)
	}
	doc, err := bundle.Encode(next)
	if err != nil {
		w.ghost.fail("%v", err)
		return
	}
	sig, _ := bundle.Sign(doc, "anna", operator)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		p := bundle.Publish(ctx, &w.log, operators, doc, []state.Signature{sig})
		count("published: "+string(p.Outcome), 1)
		w.ghost.mu.Lock()
		defer w.ghost.mu.Unlock()
		w.verdicts[p.ID] = p.Outcome
		w.judge(p.ID)
		switch {
		case p.Outcome == bundle.OutcomeRefused:
			w.ghost.failLocked("a valid bundle was refused: %v", p.Err)
		case p.Outcome == bundle.OutcomeAccepted && p.Version > w.newest.Load():
			w.newest.Store(p.Version)
		}
	}()
}

// retain drops the records that are older than the retention time.
func (w *bundleWorld) retain(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(2 * time.Second)
		page, err := w.log.Read(ctx, bundle.Stream, 0, logstream.PageLimit, 0)
		first := page.First
		for _, r := range page.Records {
			if time.Since(r.Time) > bundleRetention {
				first = r.Offset + 1
			}
		}
		if err == nil && first > page.First {
			count("retention: records dropped", int(first-page.First))
			w.log.Forget(bundle.Stream, first)
		}
	}
}

var bundleKinds = []string{"publish", "race", "kill", "pause", "offer", "log down", "log delay", "log loses acks", "log drops appends", "wait"}

// bundleGaps include times in which records pass retention.
var bundleGaps = append([]time.Duration{20 * time.Second, 100 * time.Second}, gaps...)

// drawBundles draws a case of the property about bundles.
func drawBundles(rt *rapid.T) func(g *ghost) {
	var events []event
	for range rapid.IntRange(1, 60).Draw(rt, "events") {
		events = append(events, event{
			kind:  pick(rt, bundleKinds),
			after: pick(rt, bundleGaps),
			i:     rapid.IntRange(0, 11).Draw(rt, "i"),
			d:     pick(rt, durations),
		})
	}
	return func(g *ghost) { runBundles(g, events) }
}

func runBundles(g *ghost, events []event) {
	w := &bundleWorld{ghost: g, readers: make([]*reader, 4), inEffect: make(map[uint64]state.BundleID), verdicts: make(map[state.BundleID]bundle.Outcome)}
	for i := range w.readers {
		w.start(i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go w.retain(ctx)
	time.Sleep(time.Second)
	w.publish(w.readers[0], "first")
	time.Sleep(time.Second)
	for n, ev := range events {
		time.Sleep(ev.after)
		w.apply(n, ev)
		count("event: "+ev.kind, 1)
	}
	time.Sleep(25 * time.Second) // the faults and the publications are over
	time.Sleep(convergence)
	for i, r := range w.readers {
		if got := r.store.Accepted(); got < w.newest.Load() {
			g.fail("process %d has version %d in effect, version %d was accepted", i, got, w.newest.Load())
		}
		w.observe(r.store.Bundle(), 0)
		r.kill()
	}
	cancel()
	time.Sleep(time.Minute)
}

func (w *bundleWorld) apply(n int, ev event) {
	i := ev.i % len(w.readers)
	r, other := w.readers[i], w.readers[(i+1+ev.i/len(w.readers))%len(w.readers)]
	switch ev.kind {
	case "publish":
		w.publish(r, fmt.Sprint(n))
	case "race":
		w.publish(r, fmt.Sprint(n, "a"))
		w.publish(other, fmt.Sprint(n, "b"))
	case "kill":
		r.kill()
		w.start(i)
	case "pause":
		r.pause(ev.d)
	case "offer":
		if b := r.store.Bundle(); b.Version > 0 && other.paused.Load() < time.Now().UnixNano() {
			other.offered.Store(true)
			other.store.Offer(b)
		}
	default:
		logFault(&w.log, ev)
	}
}

// logFault applies an event of the log service.
func logFault(log *logtest.Log, ev event) {
	switch ev.kind {
	case "log down":
		log.SetDown(true)
		time.AfterFunc(ev.d, func() { log.SetDown(false) })
	case "log delay":
		log.SetDelay(ev.d / 10)
		time.AfterFunc(2*ev.d, func() { log.SetDelay(0) })
	case "log loses acks":
		log.LoseAcks(1 + ev.i%3)
	case "log drops appends":
		log.DropAppends(1 + ev.i%3)
	}
}
