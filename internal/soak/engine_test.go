package soak

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// engineSilence is the time without a chunk after which a runner gives up.
const engineSilence = 4 * time.Second

// engine is a fake target. It outlives the side processes beside it.
type engine struct {
	ghost *ghost
	id    state.TargetID

	mu      sync.Mutex
	gap     time.Duration // between chunks
	silent  time.Time     // until when no chunks are produced
	down    bool
	denies  int // requests that are not admitted
	fails   int // requests to answer with an error
	breaks  int // connections to lose after the request has arrived
	jobs    map[state.AttemptID]*job
	changed chan struct{} // closed at each change of a job
}

// job is a request at the engine.
type job struct {
	op       string
	produced uint64
	failed   bool // ends with an error of the engine
	lost     bool // cancelled, or the engine was restarted
}

func (j *job) done() bool { return j.produced == chunks(j.op) }

func newEngine(g *ghost, id state.TargetID, gap time.Duration) *engine {
	return &engine{ghost: g, id: id, gap: gap, jobs: make(map[state.AttemptID]*job), changed: make(chan struct{})}
}

func (e *engine) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
	close(e.changed)
	e.changed = make(chan struct{})
}

// restart loses all jobs.
func (e *engine) restart() {
	e.set(func() {
		for _, j := range e.jobs {
			j.lost = true
		}
		clear(e.jobs)
	})
}

// produce runs a job to its end.
func (e *engine) produce(j *job) {
	for over := false; !over; {
		e.mu.Lock()
		wait := e.gap + max(0, time.Until(e.silent))
		e.mu.Unlock()
		time.Sleep(wait)
		e.set(func() {
			if !j.lost && time.Now().After(e.silent) {
				j.produced++
			}
			over = j.lost || j.failed || j.done()
		})
	}
}

// runner is the connection of one side process to its engine.
type runner struct {
	*engine
	process *sideProcess
}

var errBroken = &side.UnknownOutcomeError{Reason: state.ReasonStreamBroken, Err: errors.New("connection lost")}

// Run implements side.Runner.
func (r *runner) Run(ctx context.Context, id state.AttemptID, req *state.Request, emit func(state.AttemptEvent)) (state.Usage, error) {
	if err := r.process.gate(ctx); err != nil {
		return state.Usage{}, side.ErrNotSent
	}
	j, broken, err := r.arrive(id, req)
	if err != nil {
		return state.Usage{}, err
	}
	go r.produce(j)
	if broken {
		return state.Usage{}, errBroken
	}
	return r.stream(ctx, j, 0, emit)
}

func (r *runner) arrive(id state.AttemptID, req *state.Request) (j *job, broken bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.down:
		return nil, false, side.ErrNotSent
	case r.denies > 0:
		r.denies--
		return nil, false, &side.NotAdmittedError{Status: 429, RetryAfter: 300 * time.Millisecond}
	}
	r.process.checkLeft("attempt "+id.String(), r.ghost)
	r.ghost.reached(r.id, id, req)
	j = &job{op: string(req.Body)}
	if r.fails > 0 {
		r.fails--
		j.failed = true
	}
	if r.breaks > 0 {
		r.breaks--
		broken = true
	}
	r.jobs[id] = j
	return j, broken, nil
}

// stream passes the chunks of a job on as they are produced.
func (r *runner) stream(ctx context.Context, j *job, from uint64, emit func(state.AttemptEvent)) (state.Usage, error) {
	heard := time.Now()
	for {
		r.mu.Lock()
		produced, changed := j.produced, r.changed
		failed, lost, done := j.failed, j.lost, j.done()
		r.mu.Unlock()
		for ; from < produced; from++ {
			heard = time.Now()
			emit(&state.Chunk{Offset: from, Data: []byte(content(j.op, from))})
		}
		switch {
		case lost:
			return state.Usage{}, errBroken
		case failed && produced > 0:
			return state.Usage{}, &side.TargetError{Status: 500, Detail: "failed"}
		case done:
			return state.Usage{PromptTokens: 100, GeneratedTokens: int(produced)}, nil
		case time.Since(heard) >= engineSilence:
			return state.Usage{}, &side.UnknownOutcomeError{Reason: state.ReasonTargetSilent, Err: errors.New("no chunk")}
		}
		select {
		case <-changed:
		case <-time.After(engineSilence):
		case <-ctx.Done():
			return state.Usage{}, ctx.Err()
		}
	}
}

// Resume implements side.Runner.
func (r *runner) Resume(ctx context.Context, id state.AttemptID, from uint64, emit func(state.AttemptEvent)) (state.Usage, error) {
	r.mu.Lock()
	j := r.jobs[id]
	r.mu.Unlock()
	if j == nil || r.process.gate(ctx) != nil {
		return state.Usage{}, errBroken
	}
	return r.stream(ctx, j, from, emit)
}

// Cancel implements side.Runner.
func (r *runner) Cancel(ctx context.Context, id state.AttemptID) error {
	if err := r.process.gate(ctx); err != nil {
		return err
	}
	r.set(func() {
		if j := r.jobs[id]; j != nil && !j.done() {
			j.lost = true
			delete(r.jobs, id)
		}
	})
	return nil
}

// ListAttempts implements side.Runner.
func (r *runner) ListAttempts(ctx context.Context) ([]side.TargetAttempt, error) {
	if err := r.process.gate(ctx); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return nil, errors.New("engine is down")
	}
	var live []side.TargetAttempt
	for id, j := range r.jobs {
		if !j.failed {
			live = append(live, side.TargetAttempt{Attempt: id, Done: j.done(), Chunks: j.produced})
		}
	}
	return live, nil
}
