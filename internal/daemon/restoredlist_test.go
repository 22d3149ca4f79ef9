package daemon

import (
	"slices"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// usable returns the targets in the list that take new requests.
func (s *storeTest) usable() []state.TargetID {
	var ids []state.TargetID
	for _, r := range s.control.targets() {
		if !r.Draining {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

func (s *storeTest) waitUsable(what string, want ...state.TargetID) {
	s.t.Helper()
	s.wait(what, func() bool { return slices.Equal(s.usable(), want) })
}

// readTarget appends the record of a target and waits until the entry has read it, and with
// it all records before.
func (s *storeTest) readTarget(id state.TargetID) {
	s.t.Helper()
	s.putTarget(string(id), "ready")
	s.wait("target "+string(id)+" listed", func() bool { return slices.Contains(s.usable(), id) })
}

// Guards against a list of targets that stands still after the store has come back from an
// older copy, until the store has given out as many offsets again: targets that leave would
// get requests.
func TestTargetsThatLeaveAfterStoreIsRestored(t *testing.T) {
	t.Parallel()
	s := newStoreTest(t)
	s.putTarget("a", "ready")
	s.putTarget("b", "ready")
	older := s.store.Copy()
	for range 50 {
		s.putTarget("a", "ready")
	}
	s.start()
	s.waitUsable("both targets", "a", "b")
	s.store.Restore(older)
	s.putTarget("a", "ready")
	time.Sleep(2 * targetReadInterval)
	s.putTarget("b", "draining")
	s.waitUsable("target b drains", "a")
	s.store.Put("keyed.servers", "b", nil)
	s.wait("target b gone", func() bool { return s.control.targetCount() == 1 })
}

// Guards against requests to a target that has left, because the store comes back from a
// copy in which it had not.
func TestTargetsThatLeftBeforeStoreIsRestored(t *testing.T) {
	t.Parallel()
	s := newStoreTest(t)
	for _, id := range []string{"a", "b", "c"} {
		s.putTarget(id, "ready")
	}
	older := s.store.Copy()
	s.start()
	s.waitUsable("all targets", "a", "b", "c")
	s.putTarget("b", "draining")
	s.store.Put("keyed.servers", "c", nil)
	s.waitUsable("only target a", "a")
	s.store.Restore(older)
	s.readTarget("d")
	if got := s.usable(); !slices.Equal(got, []state.TargetID{"a", "d"}) {
		t.Errorf("targets %v take requests, want a and d: b drains and c has left", got)
	}
	s.readTarget("c") // lives: it had lapsed, and writes its record again
}

// Guards against dropping the targets that the older copy lacks before they could write
// their records again.
func TestTargetsThatTheOlderCopyLacks(t *testing.T) {
	t.Parallel()
	s := newStoreTest(t)
	s.putTarget("a", "ready")
	older := s.store.Copy()
	s.putTarget("b", "ready")
	s.start()
	s.waitUsable("both targets", "a", "b")
	s.store.Restore(older)
	s.readTarget("c")
	if got := s.usable(); !slices.Contains(got, "b") {
		t.Errorf("targets %v take requests, want b among them", got)
	}
	s.putTarget("b", "ready")
	s.readTarget("d")
	time.Sleep(3 * time.Second) // until a removal that was pending would take effect
	if got := s.usable(); !slices.Equal(got, []state.TargetID{"a", "b", "c", "d"}) {
		t.Errorf("targets %v take requests, want a, b, c and d", got)
	}
}
