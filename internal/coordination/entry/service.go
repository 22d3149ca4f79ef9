package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/admission"
	"github.com/cassiaramp/cassiaramp/internal/coordination/retry"
	"github.com/cassiaramp/cassiaramp/internal/coordination/traffic"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Limits of one request's life.
const (
	// claimTimeout bounds the wait for the log.
	claimTimeout = 2 * time.Second
	// attachTimeout is how long the entry asks for the fate of an attempt after
	// its session was lost. A side process drops attempts of a lost session
	// after the same time.
	attachTimeout = 10 * time.Second
	// retryAttachTimeout is the same for a request that can be retried elsewhere.
	retryAttachTimeout = time.Second
	// attachBackoffBase and attachBackoffMax bound the delay between two Attach.
	attachBackoffBase = 50 * time.Millisecond
	attachBackoffMax  = time.Second
	// maxGaps bounds how often an attempt is attached to again because its side
	// process left out a chunk.
	maxGaps = 3
	// reconsiderInterval is how often a queued attempt is compared with the
	// alternatives. Figures arrive every 500 ms.
	reconsiderInterval = 100 * time.Millisecond
	// withdrawFactor and withdrawMargin are exceeded by the predicted wait of an
	// attempt that is withdrawn in favour of the best alternative.
	withdrawFactor = 2
	withdrawMargin = 200 * time.Millisecond
	// confirmTimeout bounds the wait for the answer to a withdrawal at the
	// deadline. A few round trips suffice on a live session.
	confirmTimeout = 250 * time.Millisecond
	// unseenGrace is how long a claimed attempt that has not arrived yet is left
	// to the entry that claimed it before it is voided.
	unseenGrace = 300 * time.Millisecond
	// defaultRetryAfter is reported when a target names no time.
	defaultRetryAfter = time.Second
)

// Config configures a Service. Random is optional.
type Config struct {
	Peers  Peers
	Claims Claims
	Placer Placer
	// Bundle returns the bundle in effect, nil for none.
	Bundle func() *state.Bundle
	// MaxOpen bounds the open requests.
	MaxOpen int
	// Random returns a number in [0, 1) for backoff; nil means math/rand/v2.
	Random func() float64
	Log    *zap.Logger
}

// Service runs requests. It is safe for concurrent use.
type Service struct {
	cfg       Config
	admission *admission.Controller
	budget    retry.Budget
	computed  traffic.RecentCache[uint64, struct{}] // prompt blocks

	mu       sync.Mutex
	stopping bool
	open     int
	drained  chan struct{}
}

// New returns a service that accepts requests.
func New(cfg Config) *Service {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	s := &Service{cfg: cfg, admission: admission.NewController(cfg.MaxOpen), drained: make(chan struct{})}
	s.computed.GenerationLimit = maxGeneration
	return s
}

// StopAccepting refuses requests from now on. Open ones go on.
func (s *Service) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping {
		s.stopping = true
		s.closeWhenDrained()
	}
}

// Drained is closed when the service accepts no requests and none is open.
func (s *Service) Drained() <-chan struct{} { return s.drained }

// Open returns the number of open requests.
func (s *Service) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// enter counts a request in, unless the service is stopping.
func (s *Service) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.open++
	return true
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.closeWhenDrained()
}

// closeWhenDrained is called with the lock held.
func (s *Service) closeWhenDrained() {
	if s.stopping && s.open == 0 {
		close(s.drained)
	}
}

// Do runs req until its response is complete or its end is known. prompt holds
// the block hashes of the prompt. When ctx ends, the caller is gone: the request
// is cancelled, but one with a claim key runs on until its deadline and Do
// returns only then. Do sets req.Policy.
func (s *Service) Do(ctx context.Context, req *state.Request, prompt []uint64, sink Sink) Result {
	r := &run{
		service: s,
		req:     req,
		blocks:  prompt,
		out:     delivery{sink: sink},
		tried:   make(map[state.TargetID]state.Reason),
		log:     s.cfg.Log.With(zap.String("request", string(req.ID)), zap.String("customer", string(req.Customer))),
	}
	end := s.run(ctx, r)
	result := r.result(end)
	r.report(result)
	return result
}

// run admits and runs r.
func (s *Service) run(ctx context.Context, r *run) ending {
	if !s.enter() {
		return refused(ReasonStopping, defaultRetryAfter, nil)
	}
	defer s.leave()
	r.bundle = s.cfg.Bundle()
	if r.bundle == nil {
		return refused(state.ReasonNoBundle, defaultRetryAfter, nil)
	}
	ticket, no := s.admission.Admit(time.Now(), r.bundle, r.req.Customer, r.req.Tier)
	if no != nil {
		return refused(no.Reason, no.RetryAfter, nil)
	}
	defer ticket.Release()
	r.ticket = ticket
	ticket.MarkWaiting()
	return r.do(ctx)
}
