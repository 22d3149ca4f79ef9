package soak

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// chunkTimeout is the time without a new chunk after which a runner reports its
// engine as silent.
const chunkTimeout = 4 * time.Second

// engine is a fake target. It keeps its jobs when the side process beside it is
// killed and replaced.
type engine struct {
	ghost *ghost
	id    state.TargetID

	mu          sync.Mutex
	chunkGap    time.Duration // between chunks
	silentUntil time.Time     // no chunk is produced before this time
	down        bool          // refuses connections
	rejectNext  int           // number of next requests to reject as not admitted
	failNext    int           // number of next requests to answer with an error
	breakNext   int           // number of next requests whose connection breaks after they have arrived
	jobs        map[state.AttemptID]*job
	jobsChanged chan struct{} // closed and replaced at each call of update
}

// job is the execution of one attempt at an engine.
type job struct {
	op       string
	produced uint64 // chunks
	failed   bool   // ends with an engine error after its first chunk
	aborted  bool   // by a cancellation or a restart of the engine
}

func (j *job) done() bool { return j.produced == chunkCount(j.op) }

func newEngine(g *ghost, id state.TargetID, chunkGap time.Duration) *engine {
	return &engine{ghost: g, id: id, chunkGap: chunkGap, jobs: make(map[state.AttemptID]*job), jobsChanged: make(chan struct{})}
}

// update changes the engine's state by f and wakes the streams that wait for a
// change.
func (e *engine) update(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
	close(e.jobsChanged)
	e.jobsChanged = make(chan struct{})
}

// restart aborts all jobs and forgets them.
func (e *engine) restart() {
	e.update(func() {
		for _, j := range e.jobs {
			j.aborted = true
		}
		clear(e.jobs)
	})
}

// produce produces the chunks of a job until it is done, has failed or is aborted.
func (e *engine) produce(j *job) {
	for finished := false; !finished; {
		e.mu.Lock()
		wait := e.chunkGap + max(0, time.Until(e.silentUntil))
		e.mu.Unlock()
		time.Sleep(wait)
		e.update(func() {
			if !j.aborted && time.Now().After(e.silentUntil) {
				j.produced++
			}
			finished = j.aborted || j.failed || j.done()
		})
	}
}

// runner implements side.Runner: it is the connection of one side process to its
// engine.
type runner struct {
	*engine
	process *sideProcess
}

var errBroken = &side.UnknownOutcomeError{Reason: state.ReasonStreamBroken, Err: errors.New("connection lost")}

// Run implements side.Runner.
func (r *runner) Run(ctx context.Context, id state.AttemptID, req *state.Request, emit func(state.AttemptEvent)) (state.Usage, error) {
	if err := r.process.waitRunnable(ctx); err != nil {
		return state.Usage{}, side.ErrNotSent
	}
	j, broken, err := r.acceptAttempt(id, req)
	if err != nil {
		return state.Usage{}, err
	}
	go r.produce(j)
	if broken {
		return state.Usage{}, errBroken
	}
	return r.streamChunks(ctx, j, 0, emit)
}

// acceptAttempt starts the job of an attempt, or returns the error with which the
// engine refuses it. It reports whether the connection breaks afterwards.
func (r *runner) acceptAttempt(id state.AttemptID, req *state.Request) (j *job, broken bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.down:
		return nil, false, side.ErrNotSent
	case r.rejectNext > 0:
		r.rejectNext--
		return nil, false, &side.NotAdmittedError{Status: 429, RetryAfter: 300 * time.Millisecond}
	}
	r.process.checkNewWork("attempt "+id.String(), r.ghost)
	r.ghost.attemptArrived(r.id, id, req)
	j = &job{op: string(req.Body)}
	if r.failNext > 0 {
		r.failNext--
		j.failed = true
	}
	if r.breakNext > 0 {
		r.breakNext--
		broken = true
	}
	r.jobs[id] = j
	return j, broken, nil
}

// streamChunks emits the chunks of a job from the given offset on, as they are
// produced, until the job or ctx ends.
func (r *runner) streamChunks(ctx context.Context, j *job, from uint64, emit func(state.AttemptEvent)) (state.Usage, error) {
	lastChunk := time.Now()
	for {
		r.mu.Lock()
		produced, jobsChanged := j.produced, r.jobsChanged
		failed, aborted, done := j.failed, j.aborted, j.done()
		r.mu.Unlock()
		for ; from < produced; from++ {
			lastChunk = time.Now()
			emit(&state.Chunk{Offset: from, Data: []byte(chunkContent(j.op, from))})
		}
		switch {
		case aborted:
			return state.Usage{}, errBroken
		case failed && produced > 0:
			return state.Usage{}, &side.TargetError{Status: 500, Detail: "failed"}
		case done:
			return state.Usage{PromptTokens: 100, GeneratedTokens: int(produced)}, nil
		case time.Since(lastChunk) >= chunkTimeout:
			return state.Usage{}, &side.UnknownOutcomeError{Reason: state.ReasonTargetSilent, Err: errors.New("no chunk")}
		}
		select {
		case <-jobsChanged:
		case <-time.After(chunkTimeout):
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
	if j == nil || r.process.waitRunnable(ctx) != nil {
		return state.Usage{}, errBroken
	}
	return r.streamChunks(ctx, j, from, emit)
}

// Cancel implements side.Runner.
func (r *runner) Cancel(ctx context.Context, id state.AttemptID) error {
	if err := r.process.waitRunnable(ctx); err != nil {
		return err
	}
	r.update(func() {
		if j := r.jobs[id]; j != nil && !j.done() {
			j.aborted = true
			delete(r.jobs, id)
		}
	})
	return nil
}

// ListAttempts implements side.Runner.
func (r *runner) ListAttempts(ctx context.Context) ([]side.TargetAttempt, error) {
	if err := r.process.waitRunnable(ctx); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return nil, errors.New("engine is down")
	}
	var kept []side.TargetAttempt
	for id, j := range r.jobs {
		if !j.failed {
			kept = append(kept, side.TargetAttempt{Attempt: id, Done: j.done(), Chunks: j.produced})
		}
	}
	return kept, nil
}
