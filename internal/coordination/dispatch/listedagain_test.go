package dispatch

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a cut stream that is believed as the last one of a drained target, and a sound target that
// counts as leaving, because its entry was missing for a while, as when the store was unavailable.
func TestTargetThatIsListedAgainServes(t *testing.T) {
	s, c := newTestScheduler()
	record := state.TargetRecord{ID: "t1", Service: "s", Address: "1", Domain: "a", Slots: 2, Started: 1}
	s.SetTargets([]state.TargetRecord{record})
	g, err := s.Acquire(t.Context(), c.request(true))
	if err != nil {
		t.Fatal(err)
	}
	s.SetTargets(nil)
	c.at = c.at.Add(time.Second)
	if s.Serves(g) || s.LeavesSince(g).IsZero() {
		t.Error("a target that is not listed serves")
	}
	s.SetTargets([]state.TargetRecord{record})
	if since := s.LeavesSince(g); !s.Serves(g) || !since.IsZero() {
		t.Errorf("serves %t, leaves since %s, although it is listed again", s.Serves(g), since)
	}
	record.Started++
	s.SetTargets([]state.TargetRecord{record})
	if s.Serves(g) || s.LeavesSince(g).IsZero() {
		t.Error("another run of the target serves")
	}
}
