package origin

import (
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a report that contains an origin beside its correction: the receiver keeps the one that it
// reads last.
func TestReportHasOnlyTheCorrectedOrigin(t *testing.T) {
	const logs = 64 // the order of the notes in a report is not fixed
	for name, far := range map[string]bool{"near": false, "far": true} {
		t.Run(name, func(t *testing.T) {
			wrong := 0
			for range logs {
				l, receiver := newLog("v1", "v2"), newLog("v1", "v2")
				id := state.RequestID("stream")
				l.Begin(start, id, Origin{"s", "v1"})
				receiver.Learn(start, l.Unreported(start, far))
				l.Begin(start, id, Origin{"s", "v2"})
				receiver.Learn(start, l.Unreported(start, far))
				if o, _, ok := receiver.Find(start, id, onlyPath); !ok || o.Software != "v2" {
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d receivers have the origin of before the correction", wrong, logs)
			}
		})
	}
}
