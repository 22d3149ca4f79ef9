package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	stressEvents      = 12 // of each stream
	stressPermissions = 150
)

// stressTargets sends streams that pause at random, for ever at times. It records streams that
// run at two targets at once.
type stressTargets struct {
	runningTargets
	mu      sync.Mutex
	random  *rand.Rand
	running map[state.RequestID]context.Context // of the latest send
	doubled []string
	sends   int
	repeats int // sends of requests that had reached a target before
}

func (s *stressTargets) Send(ctx context.Context, f *Forward) (Exchange, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before := s.running[f.Call.ID]; before != nil && before.Err() == nil {
		s.doubled = append(s.doubled, string(f.Call.ID))
	}
	next := 1
	if f.ResumeAfter != "" {
		n, err := strconv.Atoi(f.ResumeAfter)
		if err != nil {
			return nil, err
		}
		next = n + 1
	}
	if s.random.IntN(20) == 0 {
		return nil, fmt.Errorf("%w: connection refused", ErrNotSent)
	}
	if s.running[f.Call.ID] != nil {
		s.repeats++
	}
	s.running[f.Call.ID] = ctx
	s.sends++
	stream := &stressStream{targets: s, ctx: ctx, next: next, late: s.random.IntN(3), noticesAfter: time.Duration(s.random.IntN(3)*s.random.IntN(1000)) * time.Millisecond}
	head := &state.Response{Status: 200, HasSignature: true, EndsWithConnection: s.random.IntN(2) == 0}
	if s.random.IntN(5) == 0 { // never notices that the request is withdrawn
		stream.noticesAfter = time.Hour
	}
	stream.endBy.Store(time.Now().Add(f.TimeLeft.Truncate(time.Millisecond)).UnixNano())
	return &stressExchange{fakeExchange{head: head, Reader: stream}, stream, s.random.IntN(5) > 0}, nil
}

// stressExchange is a send that can be withdrawn. Its target then ends the stream as it ends a
// whole one, as it does at its time limit.
type stressExchange struct {
	fakeExchange
	stream  *stressStream
	reached bool
}

func (x *stressExchange) Withdraw() bool {
	x.stream.endBy.Store(min(x.stream.endBy.Load(), time.Now().Add(x.stream.noticesAfter).UnixNano()))
	return true
}
func (x *stressExchange) Reached() bool { return x.reached }

// StaysOpen implements ConnectionWatcher.
func (x *stressExchange) StaysOpen(time.Duration) bool { return true }

// Received implements ConnectionWatcher. An early end arrives when the target makes it, however late the
// entry reads it.
func (x *stressExchange) Received() (earliest, latest time.Time, known bool) {
	at := time.Unix(0, min(time.Now().UnixNano(), x.stream.endBy.Load()))
	return at, at, true
}

// stressStream is the response of one send.
type stressStream struct {
	targets *stressTargets
	ctx     context.Context
	next    int
	late    int // events that are still read when the send was cancelled
	left    []byte
	// noticesAfter is the time from a withdrawal to its effect, and endBy when the target ends the
	// stream for it or for its time limit.
	noticesAfter time.Duration
	endBy        atomic.Int64
}

// abandoned reports whether the target has ended the stream early.
func (s *stressStream) abandoned() bool { return time.Now().UnixNano() >= s.endBy.Load() }

func (s *stressStream) Read(p []byte) (int, error) {
	if len(s.left) > 0 {
		n := copy(p, s.left)
		s.left = s.left[n:]
		return n, nil
	}
	s.targets.mu.Lock()
	pause, comment := time.Duration(s.targets.random.IntN(60))*time.Millisecond, false
	switch s.targets.random.IntN(80) {
	case 0:
		pause = time.Hour
	case 1, 2, 3:
		pause = time.Duration(700+s.targets.random.IntN(900)) * time.Millisecond
	case 4:
		comment = true
	case 5:
		s.targets.mu.Unlock()
		return 0, io.ErrUnexpectedEOF
	}
	s.targets.mu.Unlock()
	for end := time.Now().Add(pause); time.Now().Before(end) && !s.abandoned(); {
		select {
		case <-s.ctx.Done():
			if s.late == 0 {
				return 0, s.ctx.Err()
			}
			s.late-- // an event that had arrived before
			end = time.Time{}
		case <-time.After(min(time.Until(end), 10*time.Millisecond)):
		}
	}
	switch {
	case s.abandoned():
		return 0, io.EOF
	case comment:
		s.left = []byte(": alive\n\n")
	case s.next > stressEvents:
		return 0, io.EOF
	default:
		s.left = fmt.Appendf(nil, "id: %d\ndata: %d\n\n", s.next, s.next)
		s.next++
	}
	return s.Read(p)
}

// wholeEvents returns the events of a stream, and what is left of b without comments.
func wholeEvents(b string) (n int, rest string) {
	b = strings.ReplaceAll(b, ": alive\n\n", "")
	for n = 0; strings.HasPrefix(b, fmt.Sprintf("id: %d\ndata: %d\n\n", n+1, n+1)); n++ {
		b = b[len(fmt.Sprintf("id: %d\ndata: %d\n\n", n+1, n+1)):]
	}
	return n, b
}

// Guards against slots and permissions that are kept or returned twice, streams with lost,
// doubled or mixed events, streams that end as complete before their last event, and streams at two
// targets at once, when stalled requests are handed over while their targets end them for it at
// once, later or never, or end them at their time limit, bytes arrive late, callers leave, deadlines
// pass, the configuration changes and the entry stops.
func TestHandOversOfManyRequests(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runStress(t, seed) })
		})
	}
}

func runStress(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	targets := &stressTargets{random: rand.New(rand.NewPCG(seed, 2)), running: make(map[state.RequestID]context.Context)}
	s := newSeededService(targets, seed)
	var records []state.TargetRecord
	for i := range 5 {
		id := fmt.Sprint("t", i)
		records = append(records, state.TargetRecord{ID: state.TargetID(id), Service: "s", Address: id, Slots: 6})
	}
	s.cfg.Scheduler.SetTargets(records)
	s.cfg.Scheduler.SetReport("other", dispatch.Report{Lifetime: time.Hour})
	s.cfg.RetryRatio, s.cfg.RetrySlack = 0, func() float64 { return stressPermissions }
	config := longRoute()
	config.Routes[0].MaxAttempts, config.Routes[0].Objective = 3, 400*time.Millisecond
	var ticks sync.WaitGroup
	ticking, endTicks := context.WithCancel(t.Context())
	ticks.Go(func() { // as the process does
		for ticking.Err() == nil {
			s.cfg.Scheduler.GrantFreeSlots()
			time.Sleep(dispatch.GrantInterval)
		}
	})
	defer ticks.Wait()
	defer endTicks()
	s.SetConfiguration(config)
	const requests = 250
	outs := make([]blockingResponder, requests)
	var wg sync.WaitGroup
	for i := range outs {
		out := &outs[i]
		if random.IntN(10) == 0 {
			out.takes = 200 * time.Millisecond
		}
		call := &state.Call{ID: state.RequestID(fmt.Sprint("r", i)), Host: "h", Path: "/resume/x", APIKey: "key", HasTimeout: true, Timeout: time.Duration(1+random.IntN(8)) * time.Second}
		ctx, cancel := context.WithCancel(t.Context())
		if random.IntN(8) == 0 {
			time.AfterFunc(time.Duration(random.IntN(4000))*time.Millisecond, cancel)
		}
		wg.Go(func() {
			defer cancel()
			s.Serve(ctx, call, time.Now(), out)
		})
		time.Sleep(time.Duration(random.IntN(80)) * time.Millisecond)
		if i%60 == 59 {
			changed := *config
			changed.Version += int64(i)
			changed.Routes = append([]state.Route(nil), config.Routes...)
			changed.Routes[0].MaxAttempts = 1 + random.IntN(3)
			s.SetConfiguration(&changed)
		}
	}
	s.StopBy(time.Now().Add(3 * time.Second))
	time.Sleep(3 * time.Second)
	s.EndRequests()
	wg.Wait()
	synctest.Wait()
	if open := s.cfg.Scheduler.Report(false).Open; len(open) > 0 {
		t.Errorf("open slots at the end: %v", open)
	}
	if n := s.cfg.Scheduler.Waiting("s"); n > 0 {
		t.Errorf("%d requests wait at the end", n)
	}
	if len(targets.doubled) > 0 {
		t.Errorf("sent to a target while at another one: %v", targets.doubled)
	}
	permissions := 0
	for s.retryBudget("s").Take(time.Now(), stressPermissions) {
		permissions++
	}
	if permissions != stressPermissions-targets.repeats {
		t.Errorf("%d of %d permissions are left after %d repeats", permissions, stressPermissions, targets.repeats)
	}
	ended := 0
	for i := range outs {
		n, rest := wholeEvents(outs[i].body.String())
		if rest != "" || outs[i].ended && n != stressEvents {
			t.Errorf("request %d: ended %t after %d events, then %q", i, outs[i].ended, n, rest)
		}
		if outs[i].ended {
			ended++
		}
	}
	t.Logf("%d of %d streams whole, %d sends, %d repeats, %d stalled", ended, requests, targets.sends, targets.repeats, s.cfg.Counters.counts["attempt_stalled"])
}
