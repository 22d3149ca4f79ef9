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
	state.OnViolation(func(inv state.Invariant, detail string) { panic(fmt.Sprintf("%s: %s", inv, detail)) })
	m.Run()
}

const self state.Incarnation = 7

// scriptedRunner runs each attempt with a function that the test sets.
type scriptedRunner struct {
	run    func(ctx context.Context, id state.AttemptID, emit func(state.AttemptEvent)) (state.Usage, error)
	resume func(ctx context.Context, id state.AttemptID, from uint64, emit func(state.AttemptEvent)) (state.Usage, error)
	live   []Live
	listed error
	delay  time.Duration // until the live streams are listed

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

func (r *scriptedRunner) Running(context.Context) ([]Live, error) {
	time.Sleep(r.delay)
	return r.live, r.listed
}

// produce emits n chunks, one every gap.
func produce(n int, gap time.Duration) func(context.Context, state.AttemptID, func(state.AttemptEvent)) (state.Usage, error) {
	return func(ctx context.Context, _ state.AttemptID, emit func(state.AttemptEvent)) (state.Usage, error) {
		for i := range n {
			select {
			case <-time.After(gap):
			case <-ctx.Done():
				return state.Usage{}, ctx.Err()
			}
			emit(&state.Chunk{Offset: uint64(i), Data: fmt.Appendf(nil, "token %d", i)})
		}
		return state.Usage{PromptTokens: 100, GeneratedTokens: n}, nil
	}
}

// rig is a running service with one session of entry e1.
type rig struct {
	t *testing.T
	*Service
	runner  *scriptedRunner
	session *Session
	seq     uint64
}

// withRig runs f in a bubble with a service whose window has size slots.
func withRig(t *testing.T, runner *scriptedRunner, b *state.Bundle, f func(*rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		runner.runs = make(chan state.AttemptID, 1000)
		runner.cancelled = make(chan state.AttemptID, 1000)
		s := New(Config{Instance: "s1", Incarnation: self, Target: "t1", Service: "llm", Log: zap.NewNop()}, runner)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		if b != nil {
			s.SetBundle(b)
		}
		synctest.Wait() // until the runner has listed its live streams, unless it delays that
		r := &rig{t: t, Service: s, runner: runner}
		r.session = r.open("e1", 1)
		defer cancel() // also when f ends the test
		f(r)
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	})
}

func bundle(window, count int, reserves ...int) *state.Bundle {
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

func (r *rig) open(entry state.InstanceID, number uint64) *Session {
	r.t.Helper()
	c, err := r.OpenSession(entry, 1, number)
	if err != nil {
		r.t.Fatal(err)
	}
	return c
}

func (r *rig) job(tier state.Tier) *state.Dispatch {
	r.seq++
	return &state.Dispatch{
		Attempt:     state.AttemptID{Entry: r.session.key.instance, Incarnation: 1, Session: r.session.number, Seq: r.seq},
		Incarnation: self,
		Request: state.Request{
			Kind: state.Completion, Customer: "c1", Weight: 1, Tier: tier, PromptTokens: 100, MaxTokens: 100,
			Deadline: time.Now().Add(time.Minute),
		},
	}
}

// rest returns the events of a until its end.
func (r *rig) rest(a *Attempt) []state.AttemptEvent {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), 5*time.Minute)
	defer cancel()
	var events []state.AttemptEvent
	for {
		e, err := a.Next(ctx)
		if errors.Is(err, io.EOF) {
			return events
		}
		if err != nil {
			r.t.Fatalf("attempt %s after %d events: %v", a.id, len(events), err)
		}
		events = append(events, e)
	}
}

// last returns the event that ended a, which must have type T.
func last[T state.AttemptEvent](r *rig, a *Attempt) T {
	r.t.Helper()
	events := r.rest(a)
	e, ok := events[len(events)-1].(T)
	if !ok {
		r.t.Fatalf("attempt %s ended with %T %+v", a.id, events[len(events)-1], events[len(events)-1])
	}
	return e
}

func (r *rig) wantRefused(a *Attempt, want state.Reason) {
	r.t.Helper()
	if got := last[*state.Refused](r, a).Reason; got != want {
		r.t.Errorf("attempt %s refused for %s, want %s", a.id, got, want)
	}
}

// chunks returns the offsets of the chunks among events.
func chunks(events []state.AttemptEvent) []uint64 {
	var out []uint64
	for _, e := range events {
		if c, ok := e.(*state.Chunk); ok {
			out = append(out, c.Offset)
		}
	}
	return out
}

func offsets(from, to uint64) []uint64 {
	var out []uint64
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}

func (r *rig) phase(a *Attempt) state.Phase {
	r.t.Helper()
	e, err := a.Next(r.t.Context())
	if err != nil {
		r.t.Fatal(err)
	}
	return e.(*state.AttemptState).Phase
}
