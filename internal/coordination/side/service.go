package side

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Config configures a Service. All fields are required.
type Config struct {
	Instance    state.InstanceID
	Incarnation state.Incarnation
	Target      state.TargetID
	Service     state.Service
	Log         *zap.Logger
}

// Service is the side process beside one target. Its exported methods are safe
// for concurrent use and take effect while Run runs.
type Service struct {
	cfg      Config
	runner   Runner
	commands chan command // in the order sent
	stopped  chan struct{}
	drained  chan struct{}
	workers  sync.WaitGroup

	// The fields below are owned by the control goroutine.

	ctx     context.Context // of Run
	bundle  *state.Bundle   // nil when none is in effect
	models  map[string]bool // loaded models as reported; empty when unknown
	leaving bool

	entries          map[entryKey]*entryState
	entriesForgotten bool
	sessions         map[*Session]struct{}
	streams          map[*Attempt]struct{} // not detached

	attempts map[state.AttemptID]*attempt // queued, running and retained
	outcomes *outcomes
	voided   map[state.AttemptID]struct{}
	queue    *queue
	running  map[*attempt]struct{}
	window   *window
	speed    *speed
	hold     time.Time // no attempt starts before
	retained *retention

	recovering bool     // the target's list of live streams is awaited
	waiting    []func() // dispatches and attaches that depend on that list

	swept     time.Time
	refreshed time.Time // when the queued attempts were last told their place
	idle      time.Time // since when nothing runs; set while leaving
}

// New returns a service that runs attempts with runner.
func New(cfg Config, runner Runner) *Service {
	return &Service{
		cfg: cfg, runner: runner,
		commands: make(chan command, commandBuffer),
		stopped:  make(chan struct{}),
		drained:  make(chan struct{}),
		entries:  make(map[entryKey]*entryState),
		sessions: make(map[*Session]struct{}),
		streams:  make(map[*Attempt]struct{}),
		attempts: make(map[state.AttemptID]*attempt),
		outcomes: newOutcomes(),
		voided:   make(map[state.AttemptID]struct{}),
		queue:    newQueue(),
		running:  make(map[*attempt]struct{}),
		window:   newWindow(),
		speed:    newSpeed(),
		retained: &retention{},
		// Attempts of the previous incarnation may still run.
		recovering: true,
	}
}

// Identity returns the names of this process and its target.
func (s *Service) Identity() (state.InstanceID, state.Incarnation, state.TargetID, state.Service) {
	return s.cfg.Instance, s.cfg.Incarnation, s.cfg.Target, s.cfg.Service
}

// Run is the control goroutine. It returns nil when ctx ends; attempts that run
// then go on at the target, where the next incarnation finds them.
func (s *Service) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.workers.Wait()
	defer cancel()
	defer close(s.stopped)
	s.ctx = ctx
	s.workers.Go(func() { s.findLive(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.speed.sampled, s.window.adapted = time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			state.Assert(!s.leaving || len(s.running) == 0, state.GracefulStop, "stopped before the running attempts ended")
			return nil
		case c := <-s.commands:
			c.run(s)
		case <-ticker.C:
			s.tick(time.Now())
		}
	}
}

// command is what the control goroutine is asked to do: call f, or record an
// event of an attempt. Events are frequent and need no closure of their own.
type command struct {
	f       func()
	attempt *attempt
	event   state.AttemptEvent
}

func (c command) run(s *Service) {
	if c.f != nil {
		c.f()
		return
	}
	s.event(c.attempt, c.event)
}

// post hands f to the control goroutine. It does nothing after Run has returned.
func (s *Service) post(f func()) { s.send(command{f: f}) }

func (s *Service) send(c command) {
	select {
	case s.commands <- c:
	case <-s.stopped:
	}
}

// call runs f on the control goroutine and waits for it.
func (s *Service) call(f func()) {
	done := make(chan struct{})
	s.post(func() {
		defer close(done)
		f()
	})
	select {
	case <-done:
	case <-s.stopped:
	}
}

// SetBundle puts the limits of b into effect. The bundle is not changed
// afterwards.
func (s *Service) SetBundle(b *state.Bundle) {
	s.post(func() {
		if s.bundle != nil && b.Version < s.bundle.Version {
			state.Violated(state.BundleMonotone, "side process was given an older bundle")
			return
		}
		s.bundle = b
		s.window.configure(b)
		s.schedule()
	})
}

// LoadReported takes a load report of the target.
func (s *Service) LoadReported(l Load) {
	s.post(func() {
		s.models = make(map[string]bool, len(l.Models))
		for _, m := range l.Models {
			s.models[m.Name] = true
		}
	})
}

// Leave begins a planned stop: new attempts are refused, the queue is handed
// back as not run, and all sessions are told at once. Running attempts go on.
func (s *Service) Leave() {
	s.post(func() {
		if s.leaving {
			return
		}
		s.leaving = true
		s.cfg.Log.Info("leaving", zap.Int("queued", s.queue.count), zap.Int("running", len(s.running)))
		for _, a := range s.queue.sorted() {
			s.refuseQueued(a, state.ReasonLeaving)
		}
		for c := range s.sessions {
			c.alert()
		}
	})
}

// Drained is closed when, after Leave, nothing runs and every response has been
// delivered, or DrainGrace after nothing runs.
func (s *Service) Drained() <-chan struct{} { return s.drained }

// Figures returns the load figures.
func (s *Service) Figures() state.Figures {
	f := state.Figures{LowestQueued: state.NoTier}
	s.call(func() { f = s.figures() })
	return f
}

func (s *Service) figures() state.Figures {
	f := state.Figures{
		Taken:        time.Now(),
		QueuedCount:  s.queue.counts,
		QueuedTokens: s.queue.tokens,
		RunningCount: len(s.running),
		Window:       s.window.size,
		PrefillRate:  s.speed.prefill,
		DecodeRate:   s.speed.capacity,
		LowestQueued: s.queue.lowest(),
	}
	if s.bundle != nil {
		f.QueueLimit = s.bundle.Queue.MaxCount
	}
	for a := range s.running {
		w := s.remaining(a)
		f.RunningTokens += w.prompt + w.output
	}
	f.Models = slices.Sorted(maps.Keys(s.models))
	return f
}

// tick does what is due by time alone.
func (s *Service) tick(now time.Time) {
	s.measure(now)
	s.checkRunning(now)
	s.checkQueued(now)
	if now.Sub(s.swept) >= sweepInterval {
		s.swept = now
		s.sweep(now)
	}
	s.schedule()
	s.checkDrained(now)
}

// sweep does what may be late by sweepInterval.
func (s *Service) sweep(now time.Time) {
	s.dropLost(now)
	s.forget(now)
	state.Assert(len(s.voided) <= MaxVoided && s.retained.bytes <= MaxRetained && len(s.outcomes.order) <= maxOutcomes,
		state.BoundedState, "side process tables")
}

// measure samples speeds and adapts the window.
func (s *Service) measure(now time.Time) {
	decoding := 0
	for a := range s.running {
		if !a.first.IsZero() {
			decoding++
			continue
		}
		if !a.plain() {
			s.speed.waiting(a.prefillLoad, now.Sub(a.started))
		}
	}
	s.speed.sample(now, decoding, s.window.size)
	if !s.window.due(now) {
		return
	}
	// A stream that has stalled shows no gap until its next token.
	for a := range s.running {
		if open := now.Sub(a.latest); !a.first.IsZero() && !a.plain() && open > s.window.target {
			s.window.gap(open)
		}
	}
	size := s.window.size
	s.window.adapt(now)
	if s.window.size != size {
		s.cfg.Log.Debug("window changed", zap.Int("from", size), zap.Int("to", s.window.size))
	}
}

// checkRunning cancels attempts that have passed their deadline. A keyed one may
// run for another Horizon: cut off, it would use up its key with an unknown
// outcome, while a retry with the key can still collect the response.
func (s *Service) checkRunning(now time.Time) {
	for a := range s.running {
		limit := a.deadline
		if a.keyed {
			limit = limit.Add(Horizon)
		}
		if !a.deadline.IsZero() && now.After(limit) {
			s.stop(a, state.ReasonTimeout)
		}
	}
}

// checkQueued refuses queued attempts that cannot start before their deadline
// and tells the others their place. Such a refusal sheds no load in the sense of
// P4: the prediction counts no work of lower tiers that is still queued.
func (s *Service) checkQueued(now time.Time) {
	if s.queue.count == 0 {
		return
	}
	tell := now.Sub(s.refreshed) >= ProgressInterval
	if tell {
		s.refreshed = now
	}
	var before work
	for _, a := range s.queue.sorted() {
		wait := s.wait(a, before)
		if a.late(now.Add(wait)) {
			s.refuseQueued(a, state.ReasonDeadline)
			continue
		}
		if tell {
			a.record.setStage(&state.Queued{Ahead: before.count, Wait: wait})
		}
		before.add(a)
	}
}

// wait predicts how long a queued attempt waits behind the given work; 0 when
// the speeds are unknown.
func (s *Service) wait(a *attempt, before work) time.Duration {
	if before.count == 0 && len(s.running) < s.window.limit(a.tier) {
		return 0
	}
	if a.plain() {
		turns := float64(before.count+1) / float64(max(1, s.window.limit(a.tier)))
		return seconds(turns * s.speed.duration)
	}
	if s.speed.finished == 0 {
		return 0 // the length of responses is unknown
	}
	return seconds(s.firstFree() + s.speed.seconds(before))
}

// firstFree predicts the seconds until the first running attempt ends. The
// running attempts share the decode rate.
func (s *Service) firstFree() float64 {
	least := -1.0
	for a := range s.running {
		w := s.remaining(a)
		w.output *= len(s.running)
		if t := s.speed.seconds(w); least < 0 || t < least {
			least = t
		}
	}
	return max(least, 0)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// checkDrained closes the drained channel once a planned stop is complete.
func (s *Service) checkDrained(now time.Time) {
	if !s.leaving || len(s.running) > 0 {
		s.idle = time.Time{}
		return
	}
	if s.idle.IsZero() {
		s.idle = now
	}
	if !s.delivered() && now.Sub(s.idle) < DrainGrace {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// delivered reports whether every stream has ended and every response was
// passed on.
func (s *Service) delivered() bool {
	if len(s.streams) > 0 {
		return false
	}
	for _, a := range s.attempts {
		if !a.delivered {
			return false
		}
	}
	return true
}
