package side

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

func TestMain(m *testing.M) {
	state.SetViolationHandler(func(inv state.Invariant, detail string) { panic(fmt.Sprintf("%s: %s", inv, detail)) })
	m.Run()
}

const selfIncarnation state.Incarnation = 7

// scriptedRunner runs and resumes each attempt with functions that the test
// sets.
type scriptedRunner struct {
	run       func(ctx context.Context, id state.AttemptID, emit func(state.AttemptEvent)) (state.Usage, error)
	resume    func(ctx context.Context, id state.AttemptID, from uint64, emit func(state.AttemptEvent)) (state.Usage, error)
	listed    []TargetAttempt // returned by ListAttempts
	listError error           // returned by ListAttempts
	listDelay time.Duration   // time that ListAttempts takes

	runs      chan state.AttemptID
	cancelled chan state.AttemptID
}

func (r *scriptedRunner) Run(ctx context.Context, id state.AttemptID, _ *state.Request, emit func(state.AttemptEvent)) (state.Usage, error) {
	r.runs <- id
	return r.run(ctx, id, emit)
}

func (r *scriptedRunner) Resume(ctx context.Context, id state.AttemptID, from uint64, emit func(state.AttemptEvent)) (state.Usage, error) {
	return r.resume(ctx, id, from, emit)
}

func (r *scriptedRunner) Cancel(_ context.Context, id state.AttemptID) error {
	r.cancelled <- id
	return nil
}

func (r *scriptedRunner) ListAttempts(context.Context) ([]TargetAttempt, error) {
	time.Sleep(r.listDelay)
	return r.listed, r.listError
}

// produceChunks returns a run that emits n chunks, one every interval.
func produceChunks(n int, interval time.Duration) func(context.Context, state.AttemptID, func(state.AttemptEvent)) (state.Usage, error) {
	return func(ctx context.Context, _ state.AttemptID, emit func(state.AttemptEvent)) (state.Usage, error) {
		for i := range n {
			select {
			case <-time.After(interval):
			case <-ctx.Done():
				return state.Usage{}, ctx.Err()
			}
			emit(&state.Chunk{Offset: uint64(i), Data: fmt.Appendf(nil, "token %d", i)})
		}
		return state.Usage{PromptTokens: 100, GeneratedTokens: n}, nil
	}
}

// harness is a running service with one session of entry e1.
type harness struct {
	t *testing.T
	*Service
	runner  *scriptedRunner
	session *Session
	seq     uint64
}

// withHarness runs f in a synctest bubble with a running service. A nil bundle
// leaves the service without one.
func withHarness(t *testing.T, runner *scriptedRunner, b *state.Bundle, f func(*harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		runner.runs = make(chan state.AttemptID, 1000)
		runner.cancelled = make(chan state.AttemptID, 1000)
		s := New(Config{Instance: "s1", Incarnation: selfIncarnation, Target: "t1", Service: "llm", Log: zap.NewNop()}, runner)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		if b != nil {
			s.SetBundle(b)
		}
		synctest.Wait() // until recovery has ended, unless the runner delays its list
		h := &harness{t: t, Service: s, runner: runner}
		h.session = h.openSession("e1", 1)
		defer cancel() // also when f ends the test
		f(h)
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	})
}

// testBundle returns a bundle of four tiers with the given largest window,
// queue length and reserved slots of the tiers.
func testBundle(window, count int, reserves ...int) *state.Bundle {
	b := &state.Bundle{Version: 1, Queue: state.QueuePolicy{
		MaxCount: count, MaxTokens: 100000, MaxWindow: window, TokenGap: state.Duration(38 * time.Millisecond),
	}}
	for i := range 4 {
		p := state.TierPolicy{Name: fmt.Sprint("tier", i)}
		if i < len(reserves) {
			p.Reserve = reserves[i]
		}
		b.Tiers = append(b.Tiers, p)
	}
	return b
}

// openSession opens a session of the first incarnation of entry.
func (h *harness) openSession(entry state.InstanceID, number uint64) *Session {
	h.t.Helper()
	c, err := h.OpenSession(entry, 1, number)
	if err != nil {
		h.t.Fatal(err)
	}
	return c
}

// newDispatch returns a new attempt on the session of h.
func (h *harness) newDispatch(tier state.Tier) *state.Dispatch {
	h.seq++
	return &state.Dispatch{
		Attempt:     state.AttemptID{Entry: h.session.key.instance, Incarnation: 1, Session: h.session.number, Seq: h.seq},
		Incarnation: selfIncarnation,
		Request: state.Request{
			Kind: state.Completion, Customer: "c1", Weight: 1, Tier: tier, PromptTokens: 100, MaxTokens: 100,
			Deadline: time.Now().Add(time.Minute),
		},
	}
}

// readAll returns the events of a until its end.
func (h *harness) readAll(a *AttemptStream) []state.AttemptEvent {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(h.t.Context(), 5*time.Minute)
	defer cancel()
	var events []state.AttemptEvent
	for {
		e, err := a.Next(ctx)
		if errors.Is(err, io.EOF) {
			return events
		}
		if err != nil {
			h.t.Fatalf("attempt %s after %d events: %v", a.id, len(events), err)
		}
		events = append(events, e)
	}
}

// finalEvent returns the event that ended a, which must have type T.
func finalEvent[T state.AttemptEvent](h *harness, a *AttemptStream) T {
	h.t.Helper()
	events := h.readAll(a)
	e, ok := events[len(events)-1].(T)
	if !ok {
		h.t.Fatalf("attempt %s ended with %T %+v", a.id, events[len(events)-1], events[len(events)-1])
	}
	return e
}

func (h *harness) wantRefused(a *AttemptStream, want state.Reason) {
	h.t.Helper()
	if got := finalEvent[*state.Refused](h, a).Reason; got != want {
		h.t.Errorf("attempt %s refused for %s, want %s", a.id, got, want)
	}
}

// chunkOffsets returns the offsets of the chunks among events.
func chunkOffsets(events []state.AttemptEvent) []uint64 {
	var out []uint64
	for _, e := range events {
		if c, ok := e.(*state.Chunk); ok {
			out = append(out, c.Offset)
		}
	}
	return out
}

// offsetRange returns the offsets from, from+1, ..., to-1.
func offsetRange(from, to uint64) []uint64 {
	var out []uint64
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}

// readPhase returns the phase in the first event of a, which must be an
// AttemptState.
func (h *harness) readPhase(a *AttemptStream) state.Phase {
	h.t.Helper()
	e, err := a.Next(h.t.Context())
	if err != nil {
		h.t.Fatal(err)
	}
	return e.(*state.AttemptState).Phase
}
