// Package member merges the platform's instance list with what this process
// learns directly from the targets.
package member

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// PollInterval is how often the list is read.
	PollInterval = time.Second
	// RefusedHold is how long a refused connection marks a target as leaving. It
	// covers the lag of the list, which then says whether the instance is gone.
	RefusedHold = 3 * time.Second
	// LeavingHold is how long a Leaving message counts after the session that it
	// arrived on has ended. A restarted process may use the same name, and without
	// new work no session would ever show that it is back.
	LeavingHold = 30 * time.Second
	// staleLogInterval is how often an unavailable list is logged.
	staleLogInterval = 30 * time.Second
)

// List reads the platform's instance list.
type List interface {
	// Instances returns the list and its validator. unchanged tells that the list
	// still has the validator etag; members is then nil.
	Instances(ctx context.Context, etag string) (members []state.Member, newETag string, unchanged bool, err error)
}

// Tracker keeps the members. It is safe for concurrent use.
type Tracker struct {
	list   List
	logger *zap.Logger

	snapshot atomic.Pointer[[]state.Member]

	mu       sync.Mutex
	listed   []state.Member
	listedAt time.Time // last successful poll
	evidence map[state.TargetID]evidence
	watchers []func([]state.Member)
}

// evidence is what this process learned directly about a target.
type evidence struct {
	live    bool // a session is open
	member  state.Member
	leaving bool
	// incarnation is that of the side process of the last session.
	incarnation  state.Incarnation
	lostAt       time.Time // when the last session ended, or Leaving came without one
	refusedUntil time.Time
}

// saysLeaving reports whether the evidence speaks against new work at now.
func (e *evidence) saysLeaving(now time.Time) bool {
	if now.Before(e.refusedUntil) {
		return true
	}
	return e.leaving && (e.live || now.Before(e.lostAt.Add(LeavingHold)))
}

// NewTracker returns a tracker without members.
func NewTracker(list List, logger *zap.Logger) *Tracker {
	t := &Tracker{list: list, logger: logger, evidence: make(map[state.TargetID]evidence)}
	t.snapshot.Store(new([]state.Member))
	return t
}

// Members returns the members by instance name. The slice must not be changed.
func (t *Tracker) Members() []state.Member { return *t.snapshot.Load() }

// ListedAt returns the time of the last successful read of the list; zero for
// none.
func (t *Tracker) ListedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listedAt
}

// OnChange adds a function that receives each new snapshot, in order. It is
// called with the tracker locked and must neither block nor call the tracker.
// When there are members already it is called at once.
func (t *Tracker) OnChange(f func([]state.Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watchers = append(t.watchers, f)
	if m := t.Members(); len(m) > 0 {
		f(m)
	}
}

// Run polls the list until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	etag := ""
	var logged time.Time
	for {
		members, newTag, unchanged, err := t.list.Instances(ctx, etag)
		now := time.Now()
		switch {
		case err != nil && ctx.Err() == nil:
			if now.Sub(logged) >= staleLogInterval {
				t.logger.Warn("instance list unavailable; keeping the last one", zap.Time("read_at", t.ListedAt()), zap.Error(err))
				logged = now
			}
			t.update(func() {})
		case err == nil:
			etag = newTag
			t.update(func() {
				t.listedAt = now
				if !unchanged {
					t.listed = members
				}
			})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// SessionOpened records a fresh session to target. leaving is what the side
// process said about itself.
func (t *Tracker) SessionOpened(target state.TargetID, incarnation state.Incarnation, leaving bool) {
	t.observe(target, func(e *evidence) {
		e.live = true
		e.refusedUntil = time.Time{}
		// A new incarnation is not bound by what an earlier one said.
		e.leaving = leaving || e.leaving && e.incarnation == incarnation
		e.incarnation = incarnation
	})
}

// SessionLost records that no session to target is open.
func (t *Tracker) SessionLost(target state.TargetID) {
	t.observe(target, func(e *evidence) { e.live, e.lostAt = false, time.Now() })
}

// Leaving records that the side process beside target said that it leaves.
func (t *Tracker) Leaving(target state.TargetID) {
	t.observe(target, func(e *evidence) { e.leaving, e.lostAt = true, time.Now() })
}

// Refused records that the side process beside target refused a connection.
func (t *Tracker) Refused(target state.TargetID) {
	t.observe(target, func(e *evidence) { e.refusedUntil = time.Now().Add(RefusedHold) })
}

func (t *Tracker) observe(target state.TargetID, change func(*evidence)) {
	t.update(func() {
		e := t.evidence[target]
		change(&e)
		t.evidence[target] = e
	})
}

// update applies change and publishes a snapshot if it differs.
func (t *Tracker) update(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
	merged := t.merge(time.Now())
	if slices.Equal(merged, t.Members()) {
		return
	}
	t.snapshot.Store(&merged)
	for _, f := range t.watchers {
		f(merged)
	}
}

// merge returns the list corrected by the evidence. Evidence about targets that
// are neither listed nor connected is dropped.
func (t *Tracker) merge(now time.Time) []state.Member {
	merged := slices.Clone(t.listed)
	listed := make(map[state.TargetID]bool)
	for i := range merged {
		m := &merged[i]
		if m.Target == "" {
			continue
		}
		listed[m.Target] = true
		e, ok := t.evidence[m.Target]
		if !ok {
			continue
		}
		e.member = *m
		t.evidence[m.Target] = e
		m.Leaving = m.Leaving || e.saysLeaving(now)
	}
	maps.DeleteFunc(t.evidence, func(target state.TargetID, e evidence) bool {
		if listed[target] {
			return false
		}
		if e.live && e.member.Target != "" {
			// The list lags or is incomplete: an open session shows that the
			// instance lives.
			m := e.member
			m.Leaving = m.Leaving || e.saysLeaving(now)
			merged = append(merged, m)
			return false
		}
		return !e.live
	})
	slices.SortFunc(merged, func(a, b state.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return merged
}
