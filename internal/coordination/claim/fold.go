// Package claim reserves callers' keys in the log, so that a non-idempotent
// request runs at most once even when it is retried through another entry.
package claim

import (
	"fmt"
	"math"
	"time"
	"unique"

	"github.com/fxamacker/cbor/v2"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Horizon is how long a claim holds its key, in record time. Callers are told.
const Horizon = 10 * time.Minute

// horizonSlack is added to the horizon where record times of different offsets
// are compared, because the log service's clock may step back a little.
const horizonSlack = time.Minute

// batch is the content of one record: claims in the order in which they take
// effect, in CBOR.
type batch struct {
	Claims []state.Claim `cbor:"1,keyasint"`
}

// Fold folds one claim stream. It is used by one goroutine.
//
// Who holds a key depends on the claims within the horizon before, and their
// validity in turn on those before them. A reader that starts late therefore
// cannot tell which of the claims it reads first are valid. Their keys are in
// doubt: no claim for them is decided until a horizon has passed without one.
type Fold struct {
	limit  int
	held   map[string]held
	order  []expiry // by offset; the oldest first
	newest time.Time
	// A claim for a key that is not in held can be decided when its record has at
	// least the time completeFrom or the offset completeAt.
	completeFrom time.Time
	completeAt   uint64
	first        bool // completeFrom is set by the next record
}

// held is the claim in effect for a key and its record time.
type held struct {
	claim state.Claim
	time  time.Time
	doubt bool // a claim at time may hold the key; claim is not set
}

type expiry struct {
	key  string
	time time.Time
}

// never is an offset that no record reaches.
const never = math.MaxUint64

// NewFold returns a fold for a reader that starts with the first record of the
// stream. It holds at most limit keys.
func NewFold(limit int) *Fold {
	return &Fold{limit: limit, held: make(map[string]held), completeAt: never}
}

// StartLate tells that all unread records are older than bound.
func (f *Fold) StartLate(bound time.Time) { f.completeFrom = bound.Add(Horizon + horizonSlack) }

// Gap tells that records may have been lost unread and, unless completeAt is
// never, that they cannot matter to claims from offset completeAt on.
func (f *Fold) Gap(completeAt uint64) {
	clear(f.held)
	f.order = nil
	f.first, f.completeAt = true, completeAt
}

// Len returns the number of keys held or in doubt.
func (f *Fold) Len() int { return len(f.held) }

// Full reports whether another key would exceed the limit.
func (f *Fold) Full() bool { return len(f.held) >= f.limit }

// Result is the result of one claim at its place in the log. Decided is false
// when the fold cannot tell who holds the key.
type Result struct {
	state.ClaimResult
	Decided bool
}

// Apply folds one record and returns a result for each claim in it.
func (f *Fold) Apply(r logstream.Record) ([]Result, error) {
	if f.first {
		f.first = false
		f.completeFrom = r.Time.Add(Horizon + horizonSlack)
	}
	if r.Time.After(f.newest) {
		f.newest = r.Time
	}
	f.expire()
	var b batch
	if err := cbor.Unmarshal(r.Data, &b); err != nil {
		return nil, fmt.Errorf("decode claim record at offset %d: %w", r.Offset, err)
	}
	results := make([]Result, len(b.Claims))
	for i := range b.Claims {
		results[i] = f.claim(&b.Claims[i], r)
	}
	return results, nil
}

// claim applies c, which is part of r.
func (f *Fold) claim(c *state.Claim, r logstream.Record) Result {
	h, ok := f.held[c.Key]
	ok = ok && r.Time.Sub(h.time) <= Horizon
	complete := r.Offset >= f.completeAt || !r.Time.Before(f.completeFrom)
	if ok && h.doubt || !ok && !complete {
		f.put(c.Key, held{time: r.Time, doubt: true})
		return Result{}
	}
	if valid(c, h, ok) {
		f.hold(c, h, ok, r.Time)
		return Result{ClaimResult: state.ClaimResult{Won: true, Holder: *c}, Decided: true}
	}
	if !ok {
		return Result{} // a later placement whose first one has passed the horizon
	}
	return Result{ClaimResult: state.ClaimResult{Won: repeats(c, &h.claim), Holder: h.claim}, Decided: true}
}

// repeats reports whether c is another copy of the claim that holds the key.
func repeats(c, holder *state.Claim) bool {
	return c.Placement == holder.Placement && c.Attempt == holder.Attempt && c.Target == holder.Target
}

// valid reports whether c takes the key from the holder h, if there is one. A
// placement after the first needs the receipt of the one before.
func valid(c *state.Claim, h held, holding bool) bool {
	if !holding {
		return c.Placement == 1
	}
	return c.Placement == h.claim.Placement+1 &&
		c.Fingerprint == h.claim.Fingerprint &&
		(c.Receipt == state.AttemptVoided || c.Receipt == state.AttemptNotRun)
}

// hold makes c the claim in effect for its key in place of h.
func (f *Fold) hold(c *state.Claim, h held, holding bool, at time.Time) {
	state.Assert(!holding || c.Placement > h.claim.Placement && c.Receipt != 0, state.KeyedOnce,
		fmt.Sprintf("placement %d of a key replaces placement %d", c.Placement, h.claim.Placement))
	// The few distinct names are shared between the claims that are held.
	c.Target = unique.Make(c.Target).Value()
	c.Attempt.Entry = unique.Make(c.Attempt.Entry).Value()
	f.put(c.Key, held{claim: *c, time: at})
}

func (f *Fold) put(key string, h held) {
	f.held[key] = h
	f.order = append(f.order, expiry{key: key, time: h.time})
	for len(f.held) > f.limit {
		f.evict()
	}
	state.Assert(len(f.held) <= f.limit, state.BoundedState, "claim table exceeds its limit")
}

// evict drops the oldest claim before its time. Keys that it may still hold are
// in doubt from then on.
func (f *Fold) evict() {
	e := f.pop()
	if !f.drop(e) {
		return
	}
	f.completeAt = never
	if t := e.time.Add(Horizon + horizonSlack); t.After(f.completeFrom) {
		f.completeFrom = t
	}
}

// expire drops claims that no later record can meet within the horizon.
func (f *Fold) expire() {
	for len(f.order) > 0 && f.newest.Sub(f.order[0].time) > Horizon+horizonSlack {
		f.drop(f.pop())
	}
}

// drop removes the key of e unless it was claimed again later.
func (f *Fold) drop(e expiry) bool {
	h, ok := f.held[e.key]
	if !ok || !h.time.Equal(e.time) {
		return false
	}
	delete(f.held, e.key)
	return true
}

func (f *Fold) pop() expiry {
	e := f.order[0]
	f.order[0] = expiry{}
	f.order = f.order[1:]
	return e
}

// Lookup returns the claim in effect for key at now. doubt tells that the fold
// cannot tell who holds the key.
func (f *Fold) Lookup(key string, now time.Time) (c state.Claim, ok, doubt bool) {
	h, ok := f.held[key]
	if !ok || now.Sub(h.time) > Horizon {
		return state.Claim{}, false, false
	}
	return h.claim, !h.doubt, h.doubt
}
