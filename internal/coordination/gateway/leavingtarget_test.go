package gateway

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// timedStream is a response whose events come at equal intervals.
type timedStream struct {
	begins   time.Duration // of the first event, from the call on
	events   int
	endAfter time.Duration // behind the last event
}

const timedGap = 40 * time.Millisecond

// watchedExchange is one whose connection is watched for a while behind the end.
type watchedExchange struct{ *fakeExchange }

func (watchedExchange) StaysOpen(wait time.Duration) bool {
	time.Sleep(wait)
	return true
}

// send answers with the stream, in chunks, on a connection that stays open behind it.
func (s timedStream) send(context.Context, *Forward) (Exchange, error) {
	body, target := io.Pipe()
	go func() {
		time.Sleep(s.begins)
		for n := 1; n <= s.events; n++ {
			if n > 1 {
				time.Sleep(timedGap)
			}
			fmt.Fprintf(target, "id: %d\ndata: x\n\n", n)
		}
		time.Sleep(s.endAfter)
		target.Close()
	}()
	return watchedExchange{&fakeExchange{head: &state.Response{Status: 200, HasSignature: true}, Reader: body}}, nil
}

// serveAtLeavingTarget serves calls for the streams at the same time, at a target that says meanwhile that it
// leaves, and says so still when it is asked about an end. It returns how many callers got a complete response.
func serveAtLeavingTarget(t *testing.T, path string, streams ...timedStream) (complete int) {
	synctest.Test(t, func(t *testing.T) {
		targets := &fakeTargetClient{liveness: map[state.TargetID]Liveness{"t1": Leaving}}
		for _, s := range streams {
			targets.behaviours = append(targets.behaviours, s.send)
		}
		s := newService(targets)
		record := state.TargetRecord{ID: "t1", Service: "s", Address: "t1", Slots: 100}
		s.cfg.Scheduler.SetTargets([]state.TargetRecord{record})
		out := make([]recordingResponder, len(streams))
		var calls sync.WaitGroup
		for i := range streams {
			calls.Go(func() {
				call := &state.Call{ID: state.RequestID(fmt.Sprint("r", i)), Host: "h", Path: path, APIKey: "key"}
				s.Serve(t.Context(), call, time.Now(), &out[i])
			})
		}
		time.Sleep(timedGap)
		record.Draining = true
		s.cfg.Scheduler.SetTargets([]state.TargetRecord{record})
		calls.Wait()
		for i := range out {
			if out[i].ended {
				complete++
			}
		}
	})
	return complete
}

// Guards against whole streams that are broken off because others of their target, which leaves as it had
// said, end by chance at the same moment; and against streams that it cancels together and that are passed
// on as complete.
func TestStreamsEndingTogetherAtLeavingTarget(t *testing.T) {
	const apart = 5 * time.Millisecond
	for _, c := range []struct {
		name    string
		streams []timedStream
		whole   bool
	}{
		{"two whole ones", []timedStream{{0, 5, 0}, {apart, 5, 0}}, true},
		{"whole ones of different lengths", []timedStream{{0, 5, 0}, {timedGap + apart, 4, 0}, {3*timedGap + 2*apart, 2, 0}}, true},
		{"two cancelled ones", []timedStream{{0, 5, timedGap / 2}, {apart, 5, timedGap/2 - apart}}, false},
		{"three cancelled ones of different lengths", []timedStream{{0, 5, timedGap / 2}, {timedGap + apart, 4, timedGap/2 - apart}, {2*timedGap + 2*apart, 3, timedGap/2 - 2*apart}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			want := 0
			if c.whole {
				want = len(c.streams)
			}
			if got := serveAtLeavingTarget(t, "/stream/x", c.streams...); got != want {
				t.Errorf("%d of %d streams complete, want %d", got, len(c.streams), want)
			}
		})
	}
}

// leavingChecks are checks of a target that answers that it leaves, for a while.
type leavingChecks struct {
	*fakeTargetClient
	endsAt time.Time // of its process; zero: it goes on
}

func (c leavingChecks) CheckRunning(context.Context, *state.TargetRecord, string) RunCheck {
	if !c.endsAt.IsZero() && time.Now().After(c.endsAt) {
		return RunCheck{Liveness: Ended, Refused: true}
	}
	return RunCheck{Liveness: Leaving}
}

// Guards against a whole stream that is resumed, or broken off, because the list of targets says half a second
// later than the target itself that it leaves; and against a cut one that is believed for an announcement that
// does not come, or comes from a target whose process has ended.
func TestEndIsJudgedByAnnouncementThatComesLate(t *testing.T) {
	const late = 450 * time.Millisecond
	for _, c := range []struct {
		name      string
		doubt     endDoubt
		announced time.Duration // after the end; 0: never
		process   time.Duration // how long it goes on behind the end; 0: for ever
		timing    targetend.Weight
		whole     bool
	}{
		{"announced late", unconfirmed, late, 0, 0, true},
		{"announced late, end of a resumption", emptyResumption, late, 0, 0, true},
		{"announced too late", unconfirmed, announcementTime + late, 0, 0, false},
		{"not announced", unconfirmed, 0, 0, 0, false},
		{"not announced, end of a resumption", emptyResumption, 0, 0, 0, false},
		{"announced late by one that has ended", unconfirmed, late, late / 2, 0, false},
		{"announced late, between events", unconfirmed, late, 0, -14, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, end := endingAttempt(t, &otherEntry{none: true})
				checks := leavingChecks{fakeTargetClient: &fakeTargetClient{}}
				if c.process > 0 {
					checks.endsAt = end.Add(c.process)
				}
				s := a.request.service
				s.cfg.TargetClient = checks
				a.request.table = s.table.Load()
				a.request.route = &state.Route{Kind: state.StreamingRoute, Resumable: true, MaxAttempts: 3}
				a.timingWeight = c.timing
				if c.announced > 0 {
					time.AfterFunc(c.announced, func() {
						left := a.grant.Target
						left.Draining = true
						s.cfg.Scheduler.SetTargets([]state.TargetRecord{left})
					})
				}
				if j := judgeEnd(a, c.doubt, RunCheck{Liveness: Leaving}, end, true); (j.Verdict == targetend.Whole) != c.whole {
					t.Errorf("%s because %s, want whole %t", j.Verdict, j.Reason, c.whole)
				}
				time.Sleep(2 * announcementTime)
			})
		})
	}
}
