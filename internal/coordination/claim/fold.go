// Package claim reserves callers' keys in the log, so that a non-idempotent
// request runs at most once even when it is retried through another entry.
package claim

import (
	"fmt"
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

// Fold folds one claim stream. It is used by one goroutine. The winner of a key
// depends only on the records within the horizon before the claim.
type Fold struct {
	limit  int
	held   map[string]held
	order  []expiry // by offset; the oldest first
	newest time.Time
	// completeFrom is the record time from which on every claim that can still
	// hold a key has been folded.
	completeFrom time.Time
	first        bool // the first record after an incomplete start is still to come
}

// held is the claim in effect for a key and its record time.
type held struct {
	claim state.Claim
	time  time.Time
}

type expiry struct {
	key  string
	time time.Time
}

// NewFold returns a fold that holds at most limit keys. complete tells that no
// record within the horizon precedes the first one that will be applied.
func NewFold(limit int, complete bool) *Fold {
	return &Fold{limit: limit, held: make(map[string]held), first: !complete}
}

// Gap tells that records within the horizon may have been lost unread.
func (f *Fold) Gap() { f.first = true }

// Len returns the number of keys held.
func (f *Fold) Len() int { return len(f.held) }

// Full reports whether another key would exceed the limit.
func (f *Fold) Full() bool { return len(f.held) >= f.limit }

// Result is the result of one claim at its place in the log. Complete is false
// when the fold cannot tell who holds the key.
type Result struct {
	state.ClaimResult
	Complete bool
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
		results[i] = f.claim(&b.Claims[i], r.Time)
	}
	return results, nil
}

// claim applies c at record time at.
func (f *Fold) claim(c *state.Claim, at time.Time) Result {
	h, ok := f.held[c.Key]
	if ok && at.Sub(h.time) > Horizon {
		h, ok = held{}, false
	}
	if valid(c, h, ok) {
		f.hold(c, at)
		h = f.held[c.Key]
	}
	won := h.claim.Key == c.Key && h.claim.Placement == c.Placement && h.claim.Attempt == c.Attempt
	// A claim without a holder and not valid itself is a later placement whose
	// predecessor is not known.
	known := !at.Before(f.completeFrom) && h.claim.Key == c.Key
	return Result{ClaimResult: state.ClaimResult{Won: won, Holder: h.claim}, Complete: known}
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

// hold makes c the claim in effect for its key.
func (f *Fold) hold(c *state.Claim, at time.Time) {
	old, ok := f.held[c.Key]
	live := ok && at.Sub(old.time) <= Horizon
	state.Assert(!live || c.Placement > old.claim.Placement && c.Receipt != 0, state.KeyedOnce,
		fmt.Sprintf("placement %d of a key replaces placement %d", c.Placement, old.claim.Placement))
	// The few distinct names are shared between the claims that are held.
	c.Target = unique.Make(c.Target).Value()
	c.Attempt.Entry = unique.Make(c.Attempt.Entry).Value()
	f.held[c.Key] = held{claim: *c, time: at}
	f.order = append(f.order, expiry{key: c.Key, time: at})
	for len(f.held) > f.limit {
		f.evict()
	}
	state.Assert(len(f.held) <= f.limit, state.BoundedState, "claim table exceeds its limit")
}

// evict drops the oldest claim before its time. Claims that it could still
// defeat are not decided by this fold.
func (f *Fold) evict() {
	e := f.pop()
	if h, ok := f.held[e.key]; ok && h.time.Equal(e.time) {
		delete(f.held, e.key)
		if t := e.time.Add(Horizon + horizonSlack); t.After(f.completeFrom) {
			f.completeFrom = t
		}
	}
}

// expire drops claims that no later record can meet within the horizon.
func (f *Fold) expire() {
	for len(f.order) > 0 && f.newest.Sub(f.order[0].time) > Horizon+horizonSlack {
		e := f.pop()
		if h, ok := f.held[e.key]; ok && h.time.Equal(e.time) {
			delete(f.held, e.key)
		}
	}
}

func (f *Fold) pop() expiry {
	e := f.order[0]
	f.order[0] = expiry{}
	f.order = f.order[1:]
	return e
}

// Complete reports whether claims appended from now on can be decided.
func (f *Fold) Complete() bool { return !f.first && !f.newest.Before(f.completeFrom) }

// Lookup returns the claim in effect for key at now.
func (f *Fold) Lookup(key string, now time.Time) (state.Claim, bool) {
	h, ok := f.held[key]
	if !ok || now.Sub(h.time) > Horizon {
		return state.Claim{}, false
	}
	return h.claim, true
}
