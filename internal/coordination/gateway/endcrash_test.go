package gateway

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// refusingTargets are targets that accept no connections any more.
type refusingTargets struct{ *fakeTargetClient }

func (refusingTargets) Refuses(context.Context, string) bool { return true }

// Guards against requests that are quarantined because targets were told to end while they ran: a
// process that has crashed writes no last chunk.
func TestStreamEndedProperlyIsNoEvidenceOfACrash(t *testing.T) {
	for name, body := range map[string]string{"without an event": "", "after an event": events[:strings.Index(events, "id: 2")]} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newService(refusingTargets{&fakeTargetClient{behaviours: []behaviour{closingBehind(Ended, false, body)}}})
				s.Serve(t.Context(), &state.Call{ID: "r", Host: "h", Path: "/stream/x", APIKey: "key"}, time.Now(), &recordingResponder{})
				if n := s.cfg.Counters.counts["target_crashed_under_request"]; n != 0 {
					t.Errorf("%d crashes recorded, want none", n)
				}
			})
		})
	}
}
