// Package claim reserves callers' keys in the log, so that a non-idempotent
// request runs at most once even when it is retried through another entry.
//
// A claim reserves a key for one placement of a request at a target. Claims are
// records of a stream in the log, and their order there decides which one holds a key.
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

// Horizon is how long a claim holds its key, measured between record times. Callers
// are told this time.
const Horizon = 10 * time.Minute

// horizonSlack is added to the horizon where the times of records at different offsets
// are compared, because the clock of the log service may step back a little.
const horizonSlack = time.Minute

// batch is the content of one record, in CBOR: claims in the order in which they are
// applied.
type batch struct {
	Claims []state.Claim `cbor:"1,keyasint"`
}

// Fold folds one claim stream into the claims that hold keys. It is used by one
// goroutine.
//
// Whether a claim is valid depends on the claims for its key within the horizon before
// it, and their validity in turn on earlier ones. A reader that starts late therefore
// cannot tell which of the first claims that it reads are valid. Their keys are in
// doubt: no claim for such a key is decided until a horizon has passed without one.
type Fold struct {
	maxKeys  int
	keys     map[string]keyState // keys that are held or in doubt
	expiries []expiry            // one for each change of keys, by offset, the oldest first
	newest   time.Time           // latest record time
	// A claim for a key that is not in keys can be decided only if its record has at
	// least the time completeFromTime or the offset completeFromOffset: then every
	// claim that may hold the key has been read.
	completeFromTime   time.Time
	completeFromOffset uint64
	completeTimeUnset  bool // the next record sets completeFromTime
}

// keyState is the state of a key that is not free.
type keyState struct {
	claim   state.Claim // the claim that holds the key
	time    time.Time   // record time of the claim
	inDoubt bool        // a claim of that time may hold the key; claim is not set
}

// expiry is a key and the record time from which its horizon counts.
type expiry struct {
	key  string
	time time.Time
}

// unreachableOffset is an offset that no record reaches.
const unreachableOffset = math.MaxUint64

// NewFold returns a fold for a reader that starts with the first record of the stream.
// It keeps at most maxKeys keys.
func NewFold(maxKeys int) *Fold {
	return &Fold{maxKeys: maxKeys, keys: make(map[string]keyState), completeFromOffset: unreachableOffset}
}

// SkipOlderThan notes that reading starts late, after records that are all older than
// bound.
func (f *Fold) SkipOlderThan(bound time.Time) { f.completeFromTime = bound.Add(Horizon + horizonSlack) }

// Reset drops all keys, because records may have been lost unread. The lost records do
// not matter to claims from completeFromOffset on; pass unreachableOffset if they may
// matter to any claim.
func (f *Fold) Reset(completeFromOffset uint64) {
	clear(f.keys)
	f.expiries = nil
	f.completeTimeUnset, f.completeFromOffset = true, completeFromOffset
}

// Len returns the number of keys held or in doubt.
func (f *Fold) Len() int { return len(f.keys) }

// Full reports whether another key would exceed the maximum.
func (f *Fold) Full() bool { return len(f.keys) >= f.maxKeys }

// Result is the result of one claim at its offset in the log. Decided is false if the
// fold cannot tell who holds the key.
type Result struct {
	state.ClaimResult
	Decided bool
}

// Apply folds one record and returns a result for each claim in it, in the same order.
func (f *Fold) Apply(r logstream.Record) ([]Result, error) {
	if f.completeTimeUnset {
		f.completeTimeUnset = false
		f.completeFromTime = r.Time.Add(Horizon + horizonSlack)
	}
	if r.Time.After(f.newest) {
		f.newest = r.Time
	}
	f.dropExpired()
	var b batch
	if err := cbor.Unmarshal(r.Data, &b); err != nil {
		return nil, fmt.Errorf("decode claim record at offset %d: %w", r.Offset, err)
	}
	results := make([]Result, len(b.Claims))
	for i := range b.Claims {
		results[i] = f.applyClaim(&b.Claims[i], r)
	}
	return results, nil
}

// applyClaim decides c, a claim in r, and updates the state of its key.
func (f *Fold) applyClaim(c *state.Claim, r logstream.Record) Result {
	h, ok := f.keys[c.Key]
	ok = ok && r.Time.Sub(h.time) <= Horizon
	complete := r.Offset >= f.completeFromOffset || !r.Time.Before(f.completeFromTime)
	if ok && h.inDoubt || !ok && !complete {
		f.setKey(c.Key, keyState{time: r.Time, inDoubt: true})
		return Result{}
	}
	if takesKey(c, h, ok) {
		f.setHolder(c, h, ok, r.Time)
		return Result{ClaimResult: state.ClaimResult{Won: true, Holder: *c}, Decided: true}
	}
	if !ok {
		return Result{} // a later placement of a key that no claim within the horizon holds
	}
	return Result{ClaimResult: state.ClaimResult{Won: isSameClaim(c, &h.claim), Holder: h.claim}, Decided: true}
}

// isSameClaim reports whether c is another copy of the claim that holds the key.
func isSameClaim(c, holder *state.Claim) bool {
	return c.Placement == holder.Placement && c.Attempt == holder.Attempt && c.Target == holder.Target
}

// takesKey reports whether c becomes the holder of its key. If isHeld is set, the key is
// held by h: c must then be the next placement of the same request, with a receipt,
// AttemptVoided or AttemptNotRun, for the one before.
func takesKey(c *state.Claim, h keyState, isHeld bool) bool {
	if !isHeld {
		return c.Placement == 1
	}
	return c.Placement == h.claim.Placement+1 &&
		c.Fingerprint == h.claim.Fingerprint &&
		(c.Receipt == state.AttemptVoided || c.Receipt == state.AttemptNotRun)
}

// setHolder makes c the holder of its key, in place of h if isHeld is set.
func (f *Fold) setHolder(c *state.Claim, h keyState, isHeld bool, at time.Time) {
	state.Assert(!isHeld || c.Placement > h.claim.Placement && c.Receipt != 0, state.KeyedOnce,
		fmt.Sprintf("placement %d of a key replaces placement %d", c.Placement, h.claim.Placement))
	// Claims share their target and entry names, of which there are few, to save memory.
	c.Target = unique.Make(c.Target).Value()
	c.Attempt.Entry = unique.Make(c.Attempt.Entry).Value()
	f.setKey(c.Key, keyState{claim: *c, time: at})
}

// setKey sets the state of key and evicts the oldest keys above maxKeys.
func (f *Fold) setKey(key string, h keyState) {
	f.keys[key] = h
	f.expiries = append(f.expiries, expiry{key: key, time: h.time})
	for len(f.keys) > f.maxKeys {
		f.evictOldest()
	}
	state.Assert(len(f.keys) <= f.maxKeys, state.BoundedState, "claim table exceeds its limit")
}

// evictOldest drops the oldest key before it has expired. The evicted claim may still
// hold its key, so claims for keys that are not in the table are in doubt until it
// would have expired.
func (f *Fold) evictOldest() {
	e := f.popOldest()
	if !f.dropKey(e) {
		return
	}
	f.completeFromOffset = unreachableOffset
	if t := e.time.Add(Horizon + horizonSlack); t.After(f.completeFromTime) {
		f.completeFromTime = t
	}
}

// dropExpired drops the keys whose claims have passed the horizon for every record that
// is still to come.
func (f *Fold) dropExpired() {
	for len(f.expiries) > 0 && f.newest.Sub(f.expiries[0].time) > Horizon+horizonSlack {
		f.dropKey(f.popOldest())
	}
}

// dropKey drops the key of e, unless a later claim has changed its state, and reports
// whether it did so.
func (f *Fold) dropKey(e expiry) bool {
	h, ok := f.keys[e.key]
	if !ok || !h.time.Equal(e.time) {
		return false
	}
	delete(f.keys, e.key)
	return true
}

// popOldest removes and returns the oldest expiry.
func (f *Fold) popOldest() expiry {
	e := f.expiries[0]
	f.expiries[0] = expiry{}
	f.expiries = f.expiries[1:]
	return e
}

// Lookup returns the claim that holds key at the time now. inDoubt is set if the fold
// cannot tell who holds the key.
func (f *Fold) Lookup(key string, now time.Time) (c state.Claim, found, inDoubt bool) {
	h, found := f.keys[key]
	if !found || now.Sub(h.time) > Horizon {
		return state.Claim{}, false, false
	}
	return h.claim, !h.inDoubt, h.inDoubt
}
