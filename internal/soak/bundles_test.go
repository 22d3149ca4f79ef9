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
	// bundleRetention is longer than any outage in a case, so that a checkpoint is
	// always appended before retention drops the bundle in effect.
	bundleRetention = 5 * time.Minute
	// convergenceLimit is the time within which an accepted bundle takes effect in
	// all processes (guarantee P6).
	convergenceLimit = 5 * time.Second
)

// operatorKey signs all bundles.
var operatorKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

var initialSigners = state.Signers{Required: 1, Keys: map[string]string{
	"anna": base64.StdEncoding.EncodeToString(operatorKey.Public().(ed25519.PublicKey)),
}}

// bundleReader is a process that reads the bundle stream and keeps the bundle in
// effect.
type bundleReader struct {
	process
	store *bundle.Store
	// minVersion is the newest version accepted before the process started. Bundles
	// that take effect from the log have at least this version; one offered by a
	// peer may be older.
	minVersion  uint64
	peerOffered atomic.Bool
}

// bundleWorld holds the processes of one case of the property about bundles, and
// what was published.
type bundleWorld struct {
	ghost            *ghost
	log              logtest.Log
	readers          []*bundleReader
	idInEffect       map[uint64]state.BundleID // by version, as seen in any process
	reportedOutcomes map[state.BundleID]bundle.Outcome
	newestAccepted   atomic.Uint64 // newest version accepted
}

// checkInEffect checks a bundle that is in effect in a process in which version
// before was in effect until now; 0 skips the comparison.
func (w *bundleWorld) checkInEffect(b state.AcceptedBundle, before uint64) {
	id := bundle.ID(b.Document)
	w.ghost.mu.Lock()
	defer w.ghost.mu.Unlock()
	if b.Version < before {
		w.ghost.failLocked("bundle version decreased from %d to %d", before, b.Version)
	}
	if other, ok := w.idInEffect[b.Version]; ok && other != id {
		w.ghost.failLocked("two bundles of version %d are in effect", b.Version)
	}
	w.idInEffect[b.Version] = id
	w.checkOutcome(id)
}

// checkOutcome reports a failure if a bundle that was reported as not accepted is
// or was in effect. The caller holds w.ghost.mu.
func (w *bundleWorld) checkOutcome(id state.BundleID) {
	switch o := w.reportedOutcomes[id]; o {
	case bundle.OutcomeSuperseded, bundle.OutcomeRefused, bundle.OutcomeNotAppended:
		for version, other := range w.idInEffect {
			if other == id {
				w.ghost.failLocked("bundle of version %d was reported as %s and has been in effect", version, o)
			}
		}
	}
}

func (w *bundleWorld) startReader(i int) {
	r := &bundleReader{minVersion: w.newestAccepted.Load()}
	r.ctx, r.kill = context.WithCancel(context.Background())
	r.store = bundle.NewStore(bundle.Config{
		Log: processLog{&r.process, &w.log}, InitialSigners: initialSigners, Retention: bundleRetention, Logger: zap.NewNop(),
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
					w.checkInEffect(b, version)
					if b.Version < r.minVersion && !r.peerOffered.Load() {
						w.ghost.fail("version %d was put into effect by a process that started after version %d was accepted", b.Version, r.minVersion)
					}
					version = b.Version
				}
			case <-r.ctx.Done():
				return
			}
		}
	}()
}

// publish publishes a bundle whose base is the one in effect at r, and checks the
// reported outcome in the background.
func (w *bundleWorld) publish(r *bundleReader, note string) {
	base := r.store.Bundle()
	next := newBundle(base.Version+1, 0)
	next.Note, next.Signers = note, initialSigners
	if base.Version > 0 {
		next.Base = bundle.ID(base.Document)
	}
	doc, err := bundle.Encode(next)
	if err != nil {
		w.ghost.fail("%v", err)
		return
	}
	sig, _ := bundle.Sign(doc, "anna", operatorKey)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		p := bundle.Publish(ctx, &w.log, initialSigners, doc, []state.Signature{sig})
		count("published: "+string(p.Outcome), 1)
		w.ghost.mu.Lock()
		defer w.ghost.mu.Unlock()
		w.reportedOutcomes[p.ID] = p.Outcome
		w.checkOutcome(p.ID)
		switch {
		case p.Outcome == bundle.OutcomeRefused:
			w.ghost.failLocked("a valid bundle was refused: %v", p.Err)
		case p.Outcome == bundle.OutcomeAccepted && p.Version > w.newestAccepted.Load():
			w.newestAccepted.Store(p.Version)
		}
	}()
}

// applyRetention drops the records of the bundle stream that are older than
// bundleRetention, every 2 s until ctx ends.
func (w *bundleWorld) applyRetention(ctx context.Context) {
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

var bundleEventKinds = []string{"publish", "race", "kill", "pause", "offer", "log down", "log delay", "log loses acks", "log drops appends", "wait"}

// bundleEventDelays include delays in which records grow older than
// bundleRetention.
var bundleEventDelays = append([]time.Duration{20 * time.Second, 100 * time.Second}, eventDelays...)

// drawBundles draws a case of the property about bundles.
func drawBundles(rt *rapid.T) func(g *ghost) {
	var events []event
	for range rapid.IntRange(1, 60).Draw(rt, "events") {
		events = append(events, event{
			kind:     pickUniform(rt, bundleEventKinds),
			delay:    pickUniform(rt, bundleEventDelays),
			index:    rapid.IntRange(0, 11).Draw(rt, "i"),
			duration: pickUniform(rt, durations),
		})
	}
	return func(g *ghost) { runBundles(g, events) }
}

func runBundles(g *ghost, events []event) {
	w := &bundleWorld{ghost: g, readers: make([]*bundleReader, 4), idInEffect: make(map[uint64]state.BundleID), reportedOutcomes: make(map[state.BundleID]bundle.Outcome)}
	for i := range w.readers {
		w.startReader(i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go w.applyRetention(ctx)
	time.Sleep(time.Second)
	w.publish(w.readers[0], "first")
	time.Sleep(time.Second)
	for n, ev := range events {
		time.Sleep(ev.delay)
		w.apply(n, ev)
		count("event: "+ev.kind, 1)
	}
	time.Sleep(25 * time.Second) // until the faults and the publications are over
	time.Sleep(convergenceLimit)
	for i, r := range w.readers {
		if got := r.store.Accepted(); got < w.newestAccepted.Load() {
			g.fail("process %d has version %d in effect, although version %d was accepted", i, got, w.newestAccepted.Load())
		}
		w.checkInEffect(r.store.Bundle(), 0)
		r.kill()
	}
	cancel()
	time.Sleep(time.Minute)
}

func (w *bundleWorld) apply(n int, ev event) {
	i := ev.index % len(w.readers)
	r, other := w.readers[i], w.readers[(i+1+ev.index/len(w.readers))%len(w.readers)]
	switch ev.kind {
	case "publish":
		w.publish(r, fmt.Sprint(n))
	case "race":
		w.publish(r, fmt.Sprint(n, "a"))
		w.publish(other, fmt.Sprint(n, "b"))
	case "kill":
		r.kill()
		w.startReader(i)
	case "pause":
		r.pause(ev.duration)
	case "offer":
		if b := r.store.Bundle(); b.Version > 0 && other.pausedUntil.Load() < time.Now().UnixNano() {
			other.peerOffered.Store(true)
			other.store.Offer(b)
		}
	default:
		injectLogFault(&w.log, ev)
	}
}

// injectLogFault injects the fault of the log service that the event stands for;
// events of other kinds are ignored.
func injectLogFault(log *logtest.Log, ev event) {
	switch ev.kind {
	case "log down":
		log.SetDown(true)
		time.AfterFunc(ev.duration, func() { log.SetDown(false) })
	case "log delay":
		log.SetDelay(ev.duration / 10)
		time.AfterFunc(2*ev.duration, func() { log.SetDelay(0) })
	case "log loses acks":
		log.LoseAcks(1 + ev.index%3)
	case "log drops appends":
		log.DropAppends(1 + ev.index%3)
	}
}
