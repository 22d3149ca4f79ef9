package entry

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

func TestMain(m *testing.M) {
	state.SetViolationHandler(func(i state.Invariant, detail string) { panic(string(i) + ": " + detail) })
	os.Exit(m.Run())
}

// step is an event or an error that a fake stream returns after delay.
type step struct {
	delay time.Duration
	event state.AttemptEvent
	err   error
}

// script is what a fake stream returns, in order.
type script struct {
	openErr   error // returned instead of a stream
	steps     []step
	withdrawn []step // if not nil, replaces steps after Withdraw
}

// newScript returns a script of events, errors and steps.
func newScript(list ...any) script {
	var s script
	for _, e := range list {
		switch e := e.(type) {
		case state.AttemptEvent:
			s.steps = append(s.steps, step{event: e})
		case error:
			s.steps = append(s.steps, step{err: e})
		case step:
			s.steps = append(s.steps, e)
		}
	}
	return s
}

func chunk(offset uint64) *state.Chunk {
	return &state.Chunk{Offset: offset, Data: fmt.Appendf(nil, "c%d", offset)}
}

func done(chunks uint64) *state.Done { return &state.Done{Chunks: chunks} }

func attemptState(p state.Phase) *state.AttemptState { return &state.AttemptState{Phase: p} }

func refusal(r state.Reason) *state.Refused {
	return &state.Refused{Reason: r, RetryAfter: 3 * time.Second, Figures: state.LoadFigures{Taken: time.Unix(1, 0)}}
}

// fakeStream implements AttemptStream. It plays its script.
type fakeStream struct {
	peers  *fakePeers
	name   string
	mu     sync.Mutex
	script script
	nextAt time.Time
	wake   chan struct{}
}

func (f *fakeStream) Next(ctx context.Context) (state.AttemptEvent, error) {
	for {
		f.mu.Lock()
		var timer <-chan time.Time
		if len(f.script.steps) > 0 {
			if f.nextAt.IsZero() {
				f.nextAt = time.Now().Add(f.script.steps[0].delay)
			}
			timer = time.After(time.Until(f.nextAt))
		}
		f.mu.Unlock()
		select {
		case <-timer:
			f.mu.Lock()
			first := f.script.steps[0]
			f.script.steps, f.nextAt = f.script.steps[1:], time.Time{}
			f.mu.Unlock()
			return first.event, first.err
		case <-f.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (f *fakeStream) Withdraw() error {
	f.peers.record("withdraw " + f.name)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.script.withdrawn != nil {
		f.script.steps, f.nextAt = f.script.withdrawn, time.Time{}
		f.wake <- struct{}{}
	}
	return nil
}

func (f *fakeStream) Cancel() error { f.peers.record("cancel " + f.name); return nil }
func (f *fakeStream) Ack() error    { f.peers.record("ack " + f.name); return nil }
func (f *fakeStream) Close()        {}

// fakePeers implements Peers. Each Dispatch and Attach takes the next script of its
// target.
type fakePeers struct {
	mu         sync.Mutex
	calls      []string
	seq        uint64
	dispatched map[state.AttemptID]int
	reserve    map[state.TargetID]error
	dispatch   map[state.TargetID][]script
	attach     map[state.TargetID][]script
	void       map[state.TargetID]state.Phase
}

func (p *fakePeers) record(call string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, call)
}

func (p *fakePeers) Reserve(_ context.Context, target state.TargetID) (state.Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	return state.Reservation{Target: target, Attempt: state.AttemptID{Entry: "e", Session: 1, Seq: p.seq}, Incarnation: 7}, p.reserve[target]
}

func (p *fakePeers) Dispatch(_ context.Context, r state.Reservation, _ *state.Request) (AttemptStream, error) {
	p.mu.Lock()
	p.dispatched[r.Attempt]++
	if p.dispatched[r.Attempt] > 1 {
		panic("attempt dispatched twice")
	}
	p.mu.Unlock()
	return p.openStream("dispatch "+string(r.Target), r.Target, p.dispatch)
}

func (p *fakePeers) Attach(_ context.Context, target state.TargetID, a *state.Attach) (AttemptStream, error) {
	return p.openStream(fmt.Sprintf("attach %s %d", target, a.Offset), target, p.attach)
}

func (p *fakePeers) openStream(call string, target state.TargetID, from map[state.TargetID][]script) (AttemptStream, error) {
	p.record(call)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(from[target]) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	s := from[target][0]
	from[target] = from[target][1:]
	return &fakeStream{peers: p, name: string(target), script: s, wake: make(chan struct{}, 1)}, s.openErr
}

func (p *fakePeers) Void(_ context.Context, target state.TargetID, _ *state.Void) (state.AttemptState, error) {
	p.record("void " + string(target))
	if p.void[target] == 0 {
		return state.AttemptState{}, io.ErrUnexpectedEOF
	}
	return state.AttemptState{Phase: p.void[target]}, nil
}

// fakePlacer implements Placer. It returns the first target that was not tried.
type fakePlacer struct {
	mu               sync.Mutex
	targets          []state.TargetID
	withRoom         []state.TargetID
	leavesAfterPlace state.TargetID   // begins to leave after Place returned it
	waits            [2]time.Duration // best and current of CompareWaits
	open             map[state.AttemptID]bool
	outcomes         []Outcome
	figuresReceived  int
}

func (p *fakePlacer) Place(q Query) (Decision, bool) {
	for _, t := range p.targets {
		if _, tried := q.Tried[t]; !tried {
			return Decision{Target: t, Policy: "p", Reason: "first", Candidates: []Candidate{{Target: t, Score: 1}}}, true
		}
	}
	return Decision{}, false
}

func (p *fakePlacer) AttemptSent(_ state.TargetID, a state.AttemptID, _ *state.Request, _ []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[a] = true
}

func (p *fakePlacer) AttemptEnded(_ state.TargetID, a state.AttemptID, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open[a] {
		panic("AttemptEnded without AttemptSent")
	}
	delete(p.open, a)
	p.outcomes = append(p.outcomes, o)
}

func (p *fakePlacer) IsLeaving(target state.TargetID) bool { return target == p.leavesAfterPlace }

func (p *fakePlacer) FiguresReceived(state.TargetID, *state.LoadFigures) { p.figuresReceived++ }

func (p *fakePlacer) CompareWaits(state.TargetID, Query) (best, current time.Duration, ok bool) {
	return p.waits[0], p.waits[1], p.waits[1] > 0
}

func (p *fakePlacer) TargetsWithRoom(q Query, _ state.Tier) []state.TargetID {
	return slices.DeleteFunc(slices.Clone(p.withRoom), func(t state.TargetID) bool {
		_, tried := q.Tried[t]
		return tried
	})
}

// fakeClaims implements Claims. Each Claim returns the next of results, or wins when
// none is left. A nil result stands for an unavailable log.
type fakeClaims struct {
	results   []*state.ClaimResult
	existing  map[string]state.Claim
	requested []state.Claim
}

func (c *fakeClaims) Claim(ctx context.Context, claim state.Claim) (state.ClaimResult, error) {
	c.requested = append(c.requested, claim)
	if len(c.results) == 0 {
		return state.ClaimResult{Won: true, Holder: claim}, nil
	}
	r := c.results[0]
	c.results = c.results[1:]
	if r == nil {
		<-ctx.Done()
		return state.ClaimResult{}, ErrClaimUnavailable
	}
	return *r, nil
}

func (c *fakeClaims) Lookup(key string) (state.Claim, bool) {
	claim, ok := c.existing[key]
	return claim, ok
}

// fakeSink implements Sink.
type fakeSink struct {
	received []string
	buffered bool // nothing is passed on to the caller before the end
	err      error
}

func (s *fakeSink) Head(h *state.Head) error { return s.add(fmt.Sprint("head ", h.Status)) }

func (s *fakeSink) Chunk(c *state.Chunk) error { return s.add(string(c.Data)) }

func (s *fakeSink) add(v string) error {
	s.received = append(s.received, v)
	return s.err
}

func (s *fakeSink) Restart() bool {
	if s.buffered {
		s.received = nil
	}
	return s.buffered
}

// harness is a service with fake ports, and a request to run.
type harness struct {
	peers   *fakePeers
	placer  *fakePlacer
	claims  *fakeClaims
	sink    *fakeSink
	bundle  *state.Bundle
	req     *state.Request
	service *Service
}

func newHarness() *harness {
	h := &harness{
		peers: &fakePeers{
			dispatched: map[state.AttemptID]int{}, reserve: map[state.TargetID]error{}, void: map[state.TargetID]state.Phase{},
			dispatch: map[state.TargetID][]script{}, attach: map[state.TargetID][]script{},
		},
		placer: &fakePlacer{targets: []state.TargetID{"a", "b"}, open: map[state.AttemptID]bool{}},
		claims: &fakeClaims{existing: map[string]state.Claim{}},
		sink:   &fakeSink{},
		bundle: &state.Bundle{
			Tiers:     []state.TierPolicy{{Name: "high"}, {Name: "low"}},
			Customers: []state.CustomerPolicy{{Name: "c", RequestsPerSecond: 1000, Burst: 1000}},
			Retry: state.RetryPolicy{
				BudgetRatio: 0.1, BudgetMax: 10, Placements: 4,
				BackoffBase: state.Duration(50 * time.Millisecond), BackoffMax: state.Duration(2 * time.Second),
			},
		},
		req: &state.Request{
			ID: "r", Customer: "c", Tier: 1, Idempotent: true, PromptTokens: 100,
			Method: "POST", Path: "/v1/chat/completions", Body: []byte("{}"), Deadline: time.Now().Add(time.Minute),
		},
	}
	h.service = New(Config{
		Peers: h.peers, Claims: h.claims, Placer: h.placer, MaxOpen: 2, Log: zap.NewNop(),
		Bundle: func() *state.Bundle { return h.bundle },
		Random: func() float64 { return 0.5 },
	})
	return h
}

// useKey makes the request non-idempotent and gives it a key.
func (h *harness) useKey() { h.req.Idempotent, h.req.ClaimKey = false, "k" }

// foreignClaim returns another entry's claim of the request's key, with an attempt at
// target.
func (h *harness) foreignClaim(target state.TargetID) state.Claim {
	r := requestRun{req: h.req}
	return state.Claim{Key: "k", Placement: 1, Attempt: state.AttemptID{Entry: "other", Session: 1, Seq: 1}, Target: target, Incarnation: 9, Fingerprint: r.fingerprint()}
}

func (h *harness) run(ctx context.Context) Result {
	return h.service.Do(ctx, h.req, []uint64{1, 2}, h.sink)
}
