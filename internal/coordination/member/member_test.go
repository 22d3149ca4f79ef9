package member

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// fakeList is an InstanceList that can be unavailable.
type fakeList struct {
	mu            sync.Mutex
	members       []state.Member
	etag          string
	down          bool
	fullResponses int // responses that carried the list
}

func (l *fakeList) Instances(_ context.Context, etag string) ([]state.Member, string, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, "", false, errors.New("down")
	}
	if etag == l.etag {
		return nil, etag, true, nil
	}
	l.fullResponses++
	return slices.Clone(l.members), l.etag, false, nil
}

// set changes the list, its validator and whether it is unavailable.
func (l *fakeList) set(down bool, etag string, members ...state.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.etag, l.members = down, etag, members
}

func (l *fakeList) fullResponseCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fullResponses
}

func member(name string, leaving bool) state.Member {
	return state.Member{Instance: state.InstanceID("side-" + name), Role: state.SideRole, Target: state.TargetID(name), Leaving: leaving}
}

// startTracker runs a tracker of list until the end of the test.
func startTracker(t *testing.T, list *fakeList) *Tracker {
	t.Helper()
	tr := NewTracker(list, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		tr.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	synctest.Wait()
	return tr
}

// expectMembers checks the targets of the members. Leaving ones have the prefix "-".
func expectMembers(t *testing.T, tr *Tracker, want ...string) {
	t.Helper()
	var got []string
	for _, m := range tr.Members() {
		name := string(m.Target)
		if m.Leaving {
			name = "-" + name
		}
		got = append(got, name)
	}
	if !slices.Equal(got, want) {
		t.Errorf("members %v, want %v", got, want)
	}
}

// Guards against new work for a target that either source reports as leaving.
func TestLeavingFromEitherSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &fakeList{etag: "1", members: []state.Member{member("a", false), member("b", false), member("c", false)}}
		tr := startTracker(t, list)
		var changes atomic.Int32
		tr.OnChange(func([]state.Member) { changes.Add(1) })
		expectMembers(t, tr, "a", "b", "c")
		tr.SessionOpened("a", 1, false)
		tr.SessionOpened("b", 1, false)
		tr.LeavingAnnounced("a")
		expectMembers(t, tr, "-a", "b", "c")
		list.set(false, "2", member("a", false), member("b", true), member("c", false))
		time.Sleep(1500 * time.Millisecond)
		expectMembers(t, tr, "-a", "-b", "c")
		tr.SessionOpened("b", 2, false) // a session does not override the list
		expectMembers(t, tr, "-a", "-b", "c")
		tr.ConnectionRefused("c")
		expectMembers(t, tr, "-a", "-b", "-c")
		tr.SessionOpened("c", 5, false)
		expectMembers(t, tr, "-a", "-b", "c")
		tr.ConnectionRefused("c")
		time.Sleep(RefusedTTL + PollInterval)
		expectMembers(t, tr, "-a", "-b", "c")
		if n := changes.Load(); n != 7 {
			t.Errorf("%d changes reported, want 7", n)
		}
		if n := list.fullResponseCount(); n != 2 {
			t.Errorf("%d responses carried the list, want 2: an unchanged list is not sent again", n)
		}
	})
}

// Guards against a side process that is never used again after it restarted.
func TestRestartAfterLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &fakeList{etag: "1", members: []state.Member{member("a", false), member("b", false)}}
		tr := startTracker(t, list)
		tr.SessionOpened("a", 1, false)
		tr.LeavingAnnounced("a")
		tr.SessionOpened("a", 1, false) // a new session to the same process, which is still leaving
		expectMembers(t, tr, "-a", "b")
		tr.SessionOpened("a", 2, false)
		expectMembers(t, tr, "a", "b")
		tr.SessionOpened("b", 1, true)
		time.Sleep(10 * LeavingTTL) // the session stays open during a long drain
		expectMembers(t, tr, "a", "-b")
		tr.SessionLost("b")
		expectMembers(t, tr, "a", "-b")
		time.Sleep(LeavingTTL + PollInterval)
		expectMembers(t, tr, "a", "b")
	})
}

// Guards against losing the members when the list is unavailable, late or incomplete.
func TestListUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &fakeList{etag: "1", members: []state.Member{member("a", false), member("b", false)}}
		tr := startTracker(t, list)
		tr.SessionOpened("a", 1, false)
		list.set(true, "")
		time.Sleep(time.Hour)
		expectMembers(t, tr, "a", "b")
		if age := time.Since(tr.ListReadAt()); age < 59*time.Minute {
			t.Errorf("list read %s ago, want the time since the last success", age)
		}
		list.set(false, "2")
		time.Sleep(2 * PollInterval)
		expectMembers(t, tr, "a") // its session is open
		tr.SessionLost("a")
		expectMembers(t, tr)
		tr.mu.Lock()
		defer tr.mu.Unlock()
		if n := len(tr.observations); n != 0 {
			t.Errorf("observations of %d targets that are gone", n)
		}
	})
}
