package gateway

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a stream that goes on at the version of a process that started after the stream had begun:
// the process before serves its streams to their end while the list of targets already has the next one.
func TestStreamThatReplacedProcessFinishesGoesOnAtItsVersion(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	second := events[len(first):strings.Index(events, "id: 3")]
	rest := events[len(first)+len(second):]
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			targets := &targetBehaviours{}
			s := newSoftwareService(targets, seed, "v1", "v1", "v1")
			targets.of = func(f *Forward) behaviour {
				if f.ResumeAfter != "" {
					return respondWith(200, rest)
				}
				return pausedThen(first, 300*time.Millisecond, func() io.Reader {
					replaceStarted(s, f.Target.ID, true, time.Now())
					time.Sleep(100 * time.Millisecond)
					return io.MultiReader(strings.NewReader(second), truncatedReader{})
				})
			}
			serve(t, s, state.Call{ID: "first"})
			for _, id := range targets.sends[1:] {
				if id == "other-v2" {
					t.Errorf("seed %d: sent to %q; v2 started after the stream had begun", seed, targets.sends)
				}
			}
		})
	}
}

// Guards against a stream without an event that is restricted to the version of a target that was replaced
// in place: any version may begin it.
func TestCommentsOfReplacedTargetDoNotRestrictStream(t *testing.T) {
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			targets := &targetBehaviours{}
			s := newSoftwareService(targets, seed, "v1", "v1", "v1")
			targets.of = func(f *Forward) behaviour {
				if len(targets.sends) > 1 {
					return respondWith(200, events)
				}
				return pausedThen(": a\n\n", 300*time.Millisecond, func() io.Reader {
					replace(s, f.Target.ID, false)
					time.Sleep(100 * time.Millisecond)
					return io.MultiReader(strings.NewReader(": b\n\n"), truncatedReader{})
				})
			}
			if out := serve(t, s, state.Call{ID: "first"}); !out.ended {
				t.Errorf("seed %d: sent to %q and not ended, failure %v; two targets of v1 are free", seed, targets.sends, out.failure)
			}
		})
	}
}
