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

// Service implements the side process of one target. Its exported methods are
// safe for concurrent use and take effect while Run runs.
type Service struct {
	cfg      Config
	runner   Runner
	commands chan command  // in the order sent
	stopped  chan struct{} // closed when Run returns
	drained  chan struct{} // closed when a planned stop is complete
	workers  sync.WaitGroup

	// The fields below are owned by the control goroutine.

	ctx     context.Context // of Run
	bundle  *state.Bundle   // nil when none is in effect
	models  map[string]bool // loaded models as reported; empty when unknown
	leaving bool            // a planned stop has begun
	leftAt  time.Time       // when it began

	entries        map[entryKey]*entryState
	entriesEvicted bool // entries have been evicted, so an unknown entry may be one of them
	sessions       map[*Session]struct{}
	streams        map[*AttemptStream]struct{} // not detached

	attempts          map[state.AttemptID]*attempt // queued, running and retained
	outcomes          *outcomes
	voided            map[state.AttemptID]struct{} // attempts that were voided before they arrived
	queue             *queue
	running           map[*attempt]struct{}
	window            *window
	rates             *rates
	startsPausedUntil time.Time // no attempt starts before
	retained          *retention

	recovering    bool     // waiting for the target's list of attempts
	afterRecovery []func() // dispatches and attaches that depend on that list

	lastSweep       time.Time
	lastQueueUpdate time.Time // when the queued attempts were last sent their position
	idleSince       time.Time // since when nothing runs; set only while leaving
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
		streams:  make(map[*AttemptStream]struct{}),
		attempts: make(map[state.AttemptID]*attempt),
		outcomes: newOutcomes(),
		voided:   make(map[state.AttemptID]struct{}),
		queue:    newQueue(),
		running:  make(map[*attempt]struct{}),
		window:   newWindow(),
		rates:    newRates(),
		retained: &retention{},
		// Attempts of the previous incarnation may still run.
		recovering: true,
	}
}

// Identity returns the names of this process and its target.
func (s *Service) Identity() (state.InstanceID, state.Incarnation, state.TargetID, state.Service) {
	return s.cfg.Instance, s.cfg.Incarnation, s.cfg.Target, s.cfg.Service
}

// Run is the control goroutine. It returns nil when ctx ends. Attempts that run
// then continue at the target, where the next incarnation finds them.
func (s *Service) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.workers.Wait()
	defer cancel()
	defer close(s.stopped)
	s.ctx = ctx
	s.workers.Go(func() { s.recoverAttempts(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.rates.sampledAt, s.window.adaptedAt = time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			state.Assert(!s.leaving || len(s.running) == 0, state.GracefulStop, "planned stop ended before the running attempts")
			return nil
		case c := <-s.commands:
			c.run(s)
		case <-ticker.C:
			s.tick(time.Now())
		}
	}
}

// command asks the control goroutine to call f or, when f is nil, to record an
// event of an attempt. Events are frequent, so they are sent without a closure
// each.
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
	s.handleEvent(c.attempt, c.event)
}

// post has the control goroutine call f and does not wait for the call. It does
// nothing after Run has returned.
func (s *Service) post(f func()) { s.send(command{f: f}) }

// send hands c to the control goroutine. It blocks while commandBuffer commands
// are waiting.
func (s *Service) send(c command) {
	select {
	case s.commands <- c:
	case <-s.stopped:
	}
}

// call has the control goroutine call f and waits for it. It also returns when
// Run returns.
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

// SetBundle puts the limits of b into effect. The caller must not change b
// afterwards.
func (s *Service) SetBundle(b *state.Bundle) {
	s.post(func() {
		if s.bundle != nil && b.Version < s.bundle.Version {
			state.ReportViolation(state.BundleMonotone, "side process was given a bundle older than the one in effect")
			return
		}
		s.bundle = b
		s.window.configure(b)
		s.schedule()
	})
}

// LoadReported takes the loaded models from a load report of the target.
func (s *Service) LoadReported(l Load) {
	s.post(func() {
		s.models = make(map[string]bool, len(l.Models))
		for _, m := range l.Models {
			s.models[m.Name] = true
		}
	})
}

// Leave begins a planned stop: queued and new attempts are refused, and all
// sessions are signalled to send their status at once. Running attempts
// continue.
func (s *Service) Leave() {
	s.post(func() {
		if s.leaving {
			return
		}
		s.leaving, s.leftAt = true, time.Now()
		s.cfg.Log.Info("leaving", zap.Int("queued", s.queue.count), zap.Int("running", len(s.running)))
		for _, a := range s.queue.sorted() {
			s.refuseQueued(a, state.ReasonLeaving)
		}
		for sess := range s.sessions {
			sess.signalUrgent()
		}
	})
}

// Drained is closed when, after Leave, nothing runs and every response has been
// delivered, at the latest DrainGrace after the last running attempt has ended and at
// the earliest LeaveNotice after Leave.
func (s *Service) Drained() <-chan struct{} { return s.drained }

// Figures returns the load figures.
func (s *Service) Figures() state.LoadFigures {
	f := state.LoadFigures{LowestQueued: state.NoTier}
	s.call(func() { f = s.figures() })
	return f
}

func (s *Service) figures() state.LoadFigures {
	f := state.LoadFigures{
		Taken:        time.Now(),
		QueuedCount:  s.queue.countByTier,
		QueuedTokens: s.queue.tokensByTier,
		RunningCount: len(s.running),
		Window:       s.window.size,
		PrefillRate:  s.rates.prefillRate,
		DecodeRate:   s.rates.decodeCapacity,
		LowestQueued: s.queue.lowestTier(),
	}
	if s.bundle != nil {
		f.QueueLimit = s.bundle.Queue.MaxCount
	}
	for a := range s.running {
		f.RunningTokens += s.rates.equivalentOutputTokens(s.remainingWork(a))
	}
	f.Models = slices.Sorted(maps.Keys(s.models))
	return f
}

// tick does the periodic work.
func (s *Service) tick(now time.Time) {
	s.updateRates(now)
	s.cancelOverdue(now)
	s.updateQueued(now)
	if now.Sub(s.lastSweep) >= sweepInterval {
		s.lastSweep = now
		s.sweep(now)
	}
	s.schedule()
	s.checkDrained(now)
}

// sweep does the periodic work that may be delayed by sweepInterval.
func (s *Service) sweep(now time.Time) {
	s.expireLostSessions(now)
	s.expireRetained(now)
	state.Assert(len(s.voided) <= MaxVoidedAttempts && s.retained.bytes <= MaxRetainedBytes && len(s.outcomes.byAge) <= maxOutcomes,
		state.BoundedState, "a table of the side process exceeds its bound")
}

// updateRates samples the rates of the target and adapts the window.
func (s *Service) updateRates(now time.Time) {
	decoding := 0
	for a := range s.running {
		if !a.firstChunk.IsZero() {
			decoding++
			continue
		}
		if !a.isPlainCall() {
			s.rates.boundPrefillRate(a.prefillTokens, now.Sub(a.started))
		}
	}
	s.rates.sampleDecodeRate(now, decoding, s.window.size)
	if !s.window.adaptationDue(now) {
		return
	}
	// A stalled stream yields no gap until its next token, so the time since its
	// latest token is recorded as one.
	for a := range s.running {
		if sinceLastChunk := now.Sub(a.latestChunk); !a.firstChunk.IsZero() && !a.isPlainCall() && sinceLastChunk > s.window.targetGap {
			s.window.recordGap(sinceLastChunk)
		}
	}
	size := s.window.size
	s.window.adapt(now)
	if s.window.size != size {
		s.cfg.Log.Debug("window changed", zap.Int("from", size), zap.Int("to", s.window.size))
	}
}

// cancelOverdue cancels running attempts that have passed their deadline. One
// with a key may run for another RetentionPeriod: cancelling it would use up
// its key with an unknown outcome, whereas a retry with the key can still
// collect the response.
func (s *Service) cancelOverdue(now time.Time) {
	for a := range s.running {
		limit := a.deadline
		if a.keyed {
			limit = limit.Add(RetentionPeriod)
		}
		if !a.deadline.IsZero() && now.After(limit) {
			s.cancelRunning(a, state.ReasonTimeout)
		}
	}
}

// updateQueued refuses queued attempts that cannot start before their deadline
// and sends the other queued attempts their position. Such a refusal does not
// violate state.TierOrder, because the predicted wait includes no queued work of
// lower tiers.
func (s *Service) updateQueued(now time.Time) {
	if s.queue.count == 0 {
		return
	}
	report := now.Sub(s.lastQueueUpdate) >= ProgressInterval
	if report {
		s.lastQueueUpdate = now
	}
	var before workload
	for _, a := range s.queue.sorted() {
		wait := s.predictWait(a, before)
		if a.pastDeadline(now.Add(wait)) {
			s.refuseQueued(a, state.ReasonDeadline)
			continue
		}
		if report {
			a.events.setStage(&state.Queued{Ahead: before.count, Wait: wait})
		}
		before.add(a)
	}
}

// predictWait predicts how long a queued attempt waits behind the given work.
// It returns 0 when the rates are unknown.
func (s *Service) predictWait(a *attempt, before workload) time.Duration {
	if before.count == 0 && len(s.running) < s.window.limitFor(a.tier) {
		return 0
	}
	if a.isPlainCall() {
		turns := float64(before.count+1) / float64(max(1, s.window.limitFor(a.tier)))
		return secondsToDuration(turns * s.rates.callSeconds)
	}
	if s.rates.outputSamples == 0 {
		return 0 // the length of responses is unknown
	}
	return secondsToDuration(s.secondsUntilFreeSlot() + s.rates.predictSeconds(before))
}

// secondsUntilFreeSlot predicts the seconds until the first running attempt
// ends, given that the running attempts share the decode rate.
func (s *Service) secondsUntilFreeSlot() float64 {
	least := -1.0
	for a := range s.running {
		w := s.remainingWork(a)
		w.expectedOutput *= len(s.running)
		if t := s.rates.predictSeconds(w); least < 0 || t < least {
			least = t
		}
	}
	return max(least, 0)
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// checkDrained closes the drained channel once a planned stop is complete.
func (s *Service) checkDrained(now time.Time) {
	if !s.leaving || len(s.running) > 0 {
		s.idleSince = time.Time{}
		return
	}
	if s.idleSince.IsZero() {
		s.idleSince = now
	}
	if now.Sub(s.leftAt) < LeaveNotice || !s.allDelivered() && now.Sub(s.idleSince) < DrainGrace {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// allDelivered reports whether every stream is detached and every response has
// been delivered.
func (s *Service) allDelivered() bool {
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
