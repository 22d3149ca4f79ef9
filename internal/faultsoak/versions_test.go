package faultsoak

import (
	"fmt"
	"net/http"
	"slices"
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

// goesOn reports whether the second attempt brought just the events that the first lacks.
func (s *takenUpStream) goesOn() bool {
	if !s.cut || s.second.err != nil || s.second.status != http.StatusOK {
		return false
	}
	received := strings.Count(s.first.body, "\n\n")
	return slices.ContainsFunc(softwareVersions, func(v string) bool {
		return strings.HasPrefix(wholeStream(s.first.id, v), s.first.body) && s.second.body == streamAfter(s.second.id, v, received)
	})
}

// takeUp takes a stream up at another entry, as callers do, if it was cut off after an
// event. It reports events of two software versions.
func (w *world) takeUp(first result, other *entry) *takenUpStream {
	s := &takenUpStream{first: first}
	whole := strings.LastIndex(first.body, "\n\n")
	if first.err == nil || whole < 0 {
		return s
	}
	s.cut = true
	s.first.body = first.body[:whole+len("\n\n")]
	header := map[string]string{"Last-Event-Id": fmt.Sprint(strings.Count(s.first.body, "\n\n")), "Resumes": first.id}
	for try := 0; ; try++ {
		s.second = w.send(other, fmt.Sprintf("%s-again-%d", first.id, try), "resume", header)
		if s.second.status != 0 || try == maxTakeUps {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if len(s.software()) > 1 {
		w.t.Errorf("%s has events of two software versions: %q, then %q", first.id, s.first.body, s.second.body)
	}
	return s
}

// maxTakeUps bounds how often a caller tries to reach an entry.
const maxTakeUps = 100

// streamTally counts the streams of some rounds.
type streamTally struct{ cut, goneOn int }

// killDuringStreams begins streams at an entry, kills some entries in their midst and
// counts what callers received that take the streams up at other.
func (w *world) killDuringStreams(round, streams int, at, other *entry, killed ...*entry) (tally streamTally) {
	results := make([]*takenUpStream, streams)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() { results[i] = w.takeUp(w.send(at, fmt.Sprintf("round%d-%d", round, i), "resume", nil), other) })
	}
	time.Sleep(200 * time.Millisecond) // about half of the events of a stream
	for _, e := range killed {
		e.signal(syscall.SIGKILL)
	}
	group.Wait()
	for _, s := range results {
		if s.cut {
			tally.cut++
		}
		if s.goesOn() {
			tally.goneOn++
		}
	}
	w.waitReady(10 * time.Second)
	time.Sleep(2 * time.Second) // until restarted entries count as peers of the others
	return tally
}

func (t *streamTally) add(o streamTally) {
	t.cut, t.goneOn = t.cut+o.cut, t.goneOn+o.goneOn
}

// newStreamWorld returns a world with targets of the versions by turns and streams of
// about 0.3 s.
func newStreamWorld(t *testing.T, versions ...string) *world {
	w := newWorld(t, buildDaemon(t), 1, versions...)
	t.Cleanup(w.close)
	for _, e := range w.engines {
		e.WorkTime = 40 * time.Millisecond
	}
	w.waitReady(10 * time.Second)
	return w
}

// streamsPerRound is half of the slots of the targets that stream.
const streamsPerRound = 12

// Guards against streams that callers take up at another entry, after their own was
// killed, and that go on at a target of another software version than the one that began
// them. At least half of them must go on, because both versions serve all the time.
func TestStreamsTakenUpKeepTheirSoftwareVersion(t *testing.T) {
	const rounds = 8
	w := newStreamWorld(t, softwareVersions...)
	var tally streamTally
	for round := range rounds {
		killed, other := w.entries[round%len(w.entries)], w.entries[(round+1)%len(w.entries)]
		tally.add(w.killDuringStreams(round, streamsPerRound, killed, other, killed))
	}
	t.Logf("of the streams of %d rounds %+v", rounds, tally)
	if tally.cut < rounds*streamsPerRound/2 {
		t.Errorf("only %d streams were cut off, too few to judge", tally.cut)
	}
	if tally.goneOn < tally.cut/2 {
		t.Errorf("%d of %d streams that were taken up went on, want at least half", tally.goneOn, tally.cut)
	}
}

// Guards against entries that all restart and then continue streams, of which none knows
// the origin, at any of two versions; and against refusing such streams where the service
// has had one version only.
func TestStreamsTakenUpAfterAllEntriesRestart(t *testing.T) {
	const rounds = 2
	for _, c := range []struct {
		name     string
		versions []string
	}{{"two versions", softwareVersions}, {"one version", softwareVersions[:1]}} {
		t.Run(c.name, func(t *testing.T) {
			w := newStreamWorld(t, c.versions...)
			time.Sleep(mixedServicesTime)
			var tally streamTally
			for round := range rounds {
				tally.add(w.killDuringStreams(round, streamsPerRound, w.entries[0], w.entries[1+round%2], w.entries...))
			}
			t.Logf("of the streams of %d rounds %+v", rounds, tally)
			if tally.cut < rounds*streamsPerRound/2 {
				t.Errorf("only %d streams were cut off, too few to judge", tally.cut)
			}
			if len(c.versions) == 1 && tally.goneOn < tally.cut/2 {
				t.Errorf("%d of %d streams that were taken up went on, want at least half", tally.goneOn, tally.cut)
			}
		})
	}
}

// mixedServicesTime is long enough for an entry to write to the store which services have
// several software versions.
const mixedServicesTime = 2 * time.Second

// Guards against an entry that was suspended for less than 2 s, while another version began to serve, and
// that takes the only version it knew for the origin of the streams that began meanwhile. It finds requests to
// take them up when it goes on, before the reports of the others or together with old ones.
func TestStreamsTakenUpAtEntryThatWasSuspended(t *testing.T) {
	var tally streamTally
	const suspended, untilListed = 1600 * time.Millisecond, 1100 * time.Millisecond // entries read the list every 0.9 s
	for round := range 3 {
		w := newStreamWorld(t, softwareVersions[0])
		time.Sleep(mixedServicesTime)
		w.entries[1].pause(suspended)
		for i := range 3 {
			w.mu.Lock()
			w.addEngine(fmt.Sprintf("engine-new-%d", i), softwareVersions[1], true)
			w.engines[len(w.engines)-1].WorkTime = 40 * time.Millisecond
			w.mu.Unlock()
		}
		time.Sleep(untilListed)
		tally.add(w.killDuringStreams(round, 2*streamsPerRound, w.entries[0], w.entries[1], w.entries[0]))
		w.close()
	}
	t.Logf("of the streams %+v", tally)
	if tally.cut < streamsPerRound {
		t.Errorf("only %d streams were cut off, too few to judge", tally.cut)
	}
	if tally.goneOn < tally.cut/2 {
		t.Errorf("%d of %d streams that were taken up went on, want at least half", tally.goneOn, tally.cut)
	}
}
