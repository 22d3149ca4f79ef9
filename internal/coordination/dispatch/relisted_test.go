package dispatch

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against an open request that is not told of the software version of its target because the record
// of the target was missing for a moment, or because the target was listed anew before.
func TestGrantIsToldOfVersionListedLater(t *testing.T) {
	record := func(software state.SoftwareVersion, started int64) state.TargetRecord {
		return state.TargetRecord{ID: "t1", Service: "s", Address: "1", Domain: "a", Slots: 2, Started: started, Software: software}
	}
	for name, lists := range map[string][][]state.TargetRecord{
		"at once":                 {{record("v2", 2)}},
		"after a missing record":  {{}, {record("v2", 2)}},
		"after an earlier change": {{record("v3", 2)}, {record("v2", 3)}},
	} {
		t.Run(name, func(t *testing.T) {
			s, c := newTestScheduler()
			s.SetTargets([]state.TargetRecord{record("v1", 1)})
			g, err := s.Acquire(t.Context(), c.request(true))
			if err != nil {
				t.Fatal(err)
			}
			for _, list := range lists {
				c.at = c.at.Add(time.Second)
				s.SetTargets(list)
			}
			if !g.Relisted() {
				t.Error("the grant does not know that its target is listed with another version")
			}
		})
	}
}
