// Package member keeps track of the members of a deployment with side processes: the
// instances in the platform's list, with corrections from what this process observes
// directly on its sessions to the side processes beside the targets. The targets on the
// users' platform are in package targetlist.
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
	// PollInterval is how often the platform's list is read.
	PollInterval = time.Second
	// RefusedTTL is how long a refused connection marks a target as leaving. It is
	// longer than the delay of the list, which shows afterwards whether the instance
	// is gone.
	RefusedTTL = 3 * time.Second
	// LeavingTTL is how long a Leaving message counts after the session that it
	// arrived on has ended. A restarted process may use the same name, and since a
	// leaving target gets no new work, no session would be opened that shows that
	// it is back.
	LeavingTTL = 30 * time.Second
	// unavailableLogInterval is the shortest time between two log messages about an
	// unavailable list.
	unavailableLogInterval = 30 * time.Second
)

// InstanceList reads the platform's instance list.
type InstanceList interface {
	// Instances returns the list and its validator. If the list still has the
	// validator etag, unchanged is true and members is nil.
	Instances(ctx context.Context, etag string) (members []state.Member, newETag string, unchanged bool, err error)
}

// Tracker keeps a snapshot of the members and reports changes to it. It is safe for
// concurrent use.
type Tracker struct {
	list   InstanceList
	logger *zap.Logger

	snapshot atomic.Pointer[[]state.Member]

	mu           sync.Mutex
	listed       []state.Member
	listReadAt   time.Time // last successful poll
	observations map[state.TargetID]observation
	subscribers  []func([]state.Member)
}

// observation is what this process has observed about one target.
type observation struct {
	hasSession bool         // a session is open
	lastListed state.Member // the target's last entry in the list
	leaving    bool
	// incarnation is the incarnation of the side process on the last session.
	incarnation   state.Incarnation
	lastContactAt time.Time // when the last session ended or the last Leaving message arrived
	refusedUntil  time.Time
}

// isLeaving reports whether the target must get no new work at now.
func (o *observation) isLeaving(now time.Time) bool {
	if now.Before(o.refusedUntil) {
		return true
	}
	return o.leaving && (o.hasSession || now.Before(o.lastContactAt.Add(LeavingTTL)))
}

// NewTracker returns a tracker without members.
func NewTracker(list InstanceList, logger *zap.Logger) *Tracker {
	t := &Tracker{list: list, logger: logger, observations: make(map[state.TargetID]observation)}
	t.snapshot.Store(new([]state.Member))
	return t
}

// Members returns the members, sorted by instance name. The slice must not be changed.
func (t *Tracker) Members() []state.Member { return *t.snapshot.Load() }

// ListReadAt returns the time of the last successful read of the list, or the zero
// time if there was none.
func (t *Tracker) ListReadAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listReadAt
}

// OnChange adds a function that receives each new snapshot, in order. It is called
// with the tracker locked and must neither block nor call the tracker. If there are
// members already, it is called at once.
func (t *Tracker) OnChange(f func([]state.Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers = append(t.subscribers, f)
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
			if now.Sub(logged) >= unavailableLogInterval {
				t.logger.Warn("instance list unavailable; keeping the last one", zap.Time("read_at", t.ListReadAt()), zap.Error(err))
				logged = now
			}
			t.update(func() {})
		case err == nil:
			etag = newTag
			t.update(func() {
				t.listReadAt = now
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

// SessionOpened records a new session to target. leaving says whether the side process
// announced on it that it is leaving.
func (t *Tracker) SessionOpened(target state.TargetID, incarnation state.Incarnation, leaving bool) {
	t.updateObservation(target, func(o *observation) {
		o.hasSession = true
		o.refusedUntil = time.Time{}
		// What an earlier incarnation announced does not hold for a new one.
		o.leaving = leaving || o.leaving && o.incarnation == incarnation
		o.incarnation = incarnation
	})
}

// SessionLost records that the session to target has ended.
func (t *Tracker) SessionLost(target state.TargetID) {
	t.updateObservation(target, func(o *observation) { o.hasSession, o.lastContactAt = false, time.Now() })
}

// LeavingAnnounced records that the side process beside target announced that it is
// leaving.
func (t *Tracker) LeavingAnnounced(target state.TargetID) {
	t.updateObservation(target, func(o *observation) { o.leaving, o.lastContactAt = true, time.Now() })
}

// ConnectionRefused records that the side process beside target refused a
// connection.
func (t *Tracker) ConnectionRefused(target state.TargetID) {
	t.updateObservation(target, func(o *observation) { o.refusedUntil = time.Now().Add(RefusedTTL) })
}

// updateObservation applies change to the observation of target.
func (t *Tracker) updateObservation(target state.TargetID, change func(*observation)) {
	t.update(func() {
		o := t.observations[target]
		change(&o)
		t.observations[target] = o
	})
}

// update applies change and publishes a new snapshot if the members differ.
func (t *Tracker) update(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
	merged := t.merge(time.Now())
	if slices.Equal(merged, t.Members()) {
		return
	}
	t.snapshot.Store(&merged)
	for _, f := range t.subscribers {
		f(merged)
	}
}

// merge returns the list, corrected by the observations and sorted by instance name. It
// drops observations of targets that are not listed and have no session.
func (t *Tracker) merge(now time.Time) []state.Member {
	merged := slices.Clone(t.listed)
	listed := make(map[state.TargetID]bool)
	for i := range merged {
		m := &merged[i]
		if m.Target == "" {
			continue
		}
		listed[m.Target] = true
		o, ok := t.observations[m.Target]
		if !ok {
			continue
		}
		o.lastListed = *m
		t.observations[m.Target] = o
		m.Leaving = m.Leaving || o.isLeaving(now)
	}
	maps.DeleteFunc(t.observations, func(target state.TargetID, o observation) bool {
		if listed[target] {
			return false
		}
		if o.hasSession && o.lastListed.Target != "" {
			// The list is late or incomplete: the open session shows that the
			// instance still runs.
			m := o.lastListed
			m.Leaving = m.Leaving || o.isLeaving(now)
			merged = append(merged, m)
			return false
		}
		return !o.hasSession
	})
	slices.SortFunc(merged, func(a, b state.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return merged
}
