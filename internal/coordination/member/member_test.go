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

// fakeList is an instance list that can be down.
type fakeList struct {
	mu      sync.Mutex
	members []state.Member
	etag    string
	down    bool
	full    int // responses with content
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
	l.full++
	return slices.Clone(l.members), l.etag, false, nil
}

// set changes the list.
func (l *fakeList) set(down bool, etag string, members ...state.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.etag, l.members = down, etag, members
}

func (l *fakeList) reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.full
}

func member(name string, leaving bool) state.Member {
	return state.Member{Instance: state.InstanceID("side-" + name), Role: state.SideRole, Target: state.TargetID(name), Leaving: leaving}
}

// run starts a tracker of list.
func run(t *testing.T, list *fakeList) *Tracker {
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

// expect checks the targets and, with a "-" in front, which of them leave.
func expect(t *testing.T, tr *Tracker, want ...string) {
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
		tr := run(t, list)
		var changes atomic.Int32
		tr.OnChange(func([]state.Member) { changes.Add(1) })
		expect(t, tr, "a", "b", "c")
		tr.SessionOpened("a", 1, false)
		tr.SessionOpened("b", 1, false)
		tr.Leaving("a")
		expect(t, tr, "-a", "b", "c")
		list.set(false, "2", member("a", false), member("b", true), member("c", false))
		time.Sleep(1500 * time.Millisecond)
		expect(t, tr, "-a", "-b", "c")
		tr.SessionOpened("b", 2, false) // a session does not overrule the list
		expect(t, tr, "-a", "-b", "c")
		tr.Refused("c")
		expect(t, tr, "-a", "-b", "-c")
		tr.SessionOpened("c", 5, false)
		expect(t, tr, "-a", "-b", "c")
		tr.Refused("c")
		time.Sleep(RefusedHold + PollInterval)
		expect(t, tr, "-a", "-b", "c")
		if n := changes.Load(); n != 7 {
			t.Errorf("%d changes reported, want 7", n)
		}
		if n := list.reads(); n != 2 {
			t.Errorf("%d reads with content, want 2: an unchanged list is not sent again", n)
		}
	})
}

// Guards against a restarted side process that is never used again.
func TestRestartAfterLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &fakeList{etag: "1", members: []state.Member{member("a", false), member("b", false)}}
		tr := run(t, list)
		tr.SessionOpened("a", 1, false)
		tr.Leaving("a")
		tr.SessionOpened("a", 1, false) // a new session of the process that leaves
		expect(t, tr, "-a", "b")
		tr.SessionOpened("a", 2, false)
		expect(t, tr, "a", "b")
		tr.SessionOpened("b", 1, true)
		time.Sleep(10 * LeavingHold) // drains for long
		expect(t, tr, "a", "-b")
		tr.SessionLost("b")
		expect(t, tr, "a", "-b")
		time.Sleep(LeavingHold + PollInterval)
		expect(t, tr, "a", "b")
	})
}

// Guards against losing the members when the list is down, late or incomplete.
func TestListUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &fakeList{etag: "1", members: []state.Member{member("a", false), member("b", false)}}
		tr := run(t, list)
		tr.SessionOpened("a", 1, false)
		list.set(true, "")
		time.Sleep(time.Hour)
		expect(t, tr, "a", "b")
		if age := time.Since(tr.ListedAt()); age < 59*time.Minute {
			t.Errorf("list read %s ago, want the time of the last success", age)
		}
		list.set(false, "2")
		time.Sleep(2 * PollInterval)
		expect(t, tr, "a") // its session is open
		tr.SessionLost("a")
		expect(t, tr)
		tr.mu.Lock()
		defer tr.mu.Unlock()
		if n := len(tr.evidence); n != 0 {
			t.Errorf("evidence about %d targets that are gone", n)
		}
	})
}
