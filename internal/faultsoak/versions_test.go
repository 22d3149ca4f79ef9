package faultsoak

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// takenUpStream is what a caller received of a stream in one attempt and, if that was cut
// off after some events, in the attempt that took it up.
type takenUpStream struct {
	first, second result
	cut           bool // the first attempt was cut off after at least one event
}

// software returns the software versions of the events in both attempts.
func (s *takenUpStream) software() map[string]bool {
	versions := make(map[string]bool)
	for line := range strings.Lines(s.first.body + s.second.body) {
		if fields := strings.Fields(line); len(fields) == 4 && fields[0] == "data:" {
			versions[fields[3]] = true
		}
	}
	return versions
}

// goesOn reports whether the second attempt brought all the events that the first lacks.
func (s *takenUpStream) goesOn() bool {
	events := strings.Count(s.first.body, "\n\n") + strings.Count(s.second.body, "\n\n")
	return s.second.err == nil && s.second.status == 200 && events == eventsPerStream
}

// takeUpStream sends a request for a stream and, if the stream is cut off after an event,
// takes it up at another entry, as callers do.
func (w *world) takeUpStream(e, other *entry, id string) *takenUpStream {
	s := &takenUpStream{first: w.send(e, id, "resume", nil)}
	whole := strings.LastIndex(s.first.body, "\n\n")
	if s.first.err == nil || whole < 0 {
		return s
	}
	s.cut = true
	s.first.body = s.first.body[:whole+len("\n\n")]
	events := strings.Count(s.first.body, "\n\n")
	s.second = w.send(other, id+"-again", "resume", map[string]string{"Last-Event-Id": fmt.Sprint(events), "Resumes": id})
	return s
}

// Guards against streams that callers take up at another entry, after their own was
// killed, and that go on at a target of another software version than the one that began
// them. At least half of them must go on, because both versions serve all the time.
func TestStreamsTakenUpKeepTheirSoftwareVersion(t *testing.T) {
	const rounds, streamsPerRound = 8, 12 // half of the slots
	w := newWorld(t, buildDaemon(t), 1)
	defer w.close()
	for _, e := range w.engines {
		e.WorkTime = 40 * time.Millisecond
	}
	w.waitReady(10 * time.Second)
	cut, goneOn, mixed := 0, 0, 0
	for round := range rounds {
		killed, other := w.entries[round%len(w.entries)], w.entries[(round+1)%len(w.entries)]
		streams := make([]*takenUpStream, streamsPerRound)
		var group sync.WaitGroup
		for i := range streams {
			group.Go(func() { streams[i] = w.takeUpStream(killed, other, fmt.Sprintf("round%d-%d", round, i)) })
		}
		time.Sleep(200 * time.Millisecond) // about half of the events of a stream
		killed.signal(syscall.SIGKILL)
		group.Wait()
		for _, s := range streams {
			if len(s.software()) > 1 {
				mixed++
				t.Logf("%s has events of two software versions: %q, then %q", s.first.id, s.first.body, s.second.body)
			}
			if s.cut {
				cut++
				if s.goesOn() {
					goneOn++
				} else {
					t.Logf("%s did not go on: status %d, error %v", s.first.id, s.second.status, s.second.err)
				}
			}
		}
		w.waitReady(10 * time.Second)
		time.Sleep(2 * time.Second) // until the restarted entry counts as a peer of the others
	}
	t.Logf("of %d streams %d were cut off, of which %d went on, %d of them at another version", rounds*streamsPerRound, cut, goneOn, mixed)
	if mixed > 0 {
		t.Errorf("%d streams have events of two software versions", mixed)
	}
	if cut < streamsPerRound {
		t.Errorf("only %d streams were cut off, too few to judge", cut)
	}
	if goneOn < cut/2 {
		t.Errorf("%d of %d streams that were taken up went on, want at least half", goneOn, cut)
	}
}
