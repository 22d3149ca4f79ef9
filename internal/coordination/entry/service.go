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

// Time limits, bounds and intervals of a request.
const (
	// claimTimeout bounds the wait for the log's decision on a claim.
	claimTimeout = 2 * time.Second
	// attachTimeout is how long the entry tries to attach to an attempt after its
	// session was lost. A side process drops the attempts of a lost session after
	// the same time.
	attachTimeout = 10 * time.Second
	// retryableAttachTimeout replaces attachTimeout for a request that can be
	// retried: an idempotent one of which the sink has nothing yet.
	retryableAttachTimeout = time.Second
	// attachBackoffBase and attachBackoffMax bound the delay between two calls of
	// Attach.
	attachBackoffBase = 50 * time.Millisecond
	attachBackoffMax  = time.Second
	// maxIncompleteStreams bounds how often the entry attaches to an attempt again
	// because its side process left out a chunk.
	maxIncompleteStreams = 3
	// reconsiderInterval is how often the predicted wait of a queued attempt is
	// compared with that at other targets. Load figures arrive every 500 ms to 1 s.
	reconsiderInterval = 100 * time.Millisecond
	// A queued attempt is withdrawn when its predicted wait is more than
	// withdrawFactor times the shortest wait elsewhere and also exceeds it by more
	// than withdrawMargin.
	withdrawFactor = 2
	withdrawMargin = 200 * time.Millisecond
	// confirmTimeout bounds the wait for the answer to a withdrawal at the
	// deadline. On a working session the answer takes a few round trips.
	confirmTimeout = 250 * time.Millisecond
	// unseenGracePeriod is how long an entry waits for the dispatch of an attempt
	// that another entry has claimed before it voids the attempt.
	unseenGracePeriod = 300 * time.Millisecond
	// defaultRetryAfter is the retry-after time of refusals for which no target has
	// given one.
	defaultRetryAfter = time.Second
)

// Config configures a Service. Random is optional.
type Config struct {
	Peers  Peers
	Claims Claims
	Placer Placer
	// Bundle returns the bundle in effect, or nil if there is none.
	Bundle func() *state.Bundle
	// MaxOpen bounds the open requests.
	MaxOpen int
	// Random returns a number in [0, 1) for backoff; nil means math/rand/v2.
	Random func() float64
	Log    *zap.Logger
}

// Service runs callers' requests. It is safe for concurrent use.
type Service struct {
	cfg            Config
	admission      *admission.Controller
	budget         retry.Budget
	computedBlocks traffic.RecentCache[uint64, struct{}] // hashes of prompt blocks that attempts have computed

	untilEnd context.Context // ended by EndRequests
	end      context.CancelFunc

	mu           sync.Mutex
	stopping     bool
	openRequests int
	drained      chan struct{}
}

// New returns a service that accepts requests.
func New(cfg Config) *Service {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	s := &Service{cfg: cfg, admission: admission.NewController(cfg.MaxOpen), drained: make(chan struct{})}
	s.untilEnd, s.end = context.WithCancel(context.Background())
	s.computedBlocks.GenerationLimit = blocksPerGeneration
	return s
}

// StopAccepting makes the service refuse new requests. Open requests go on.
func (s *Service) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping {
		s.stopping = true
		s.closeWhenDrained()
	}
}

// EndRequests ends the open requests, because the time limit of a planned stop is
// reached. A request that has no attempt, or whose attempt the side process takes out
// of its queue, is refused as not run. The outcome of any other is unknown. Drained is
// closed soon after, except while a sink does not return.
func (s *Service) EndRequests() { s.end() }

// Drained returns a channel that is closed once the service has stopped accepting
// requests and none is open.
func (s *Service) Drained() <-chan struct{} { return s.drained }

// OpenRequests returns the number of open requests.
func (s *Service) OpenRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openRequests
}

// beginRequest counts a request as open. It returns false when the service is
// stopping.
func (s *Service) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.openRequests++
	return true
}

// endRequest undoes beginRequest.
func (s *Service) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openRequests--
	s.closeWhenDrained()
}

// closeWhenDrained closes s.drained if the service is stopping and no request is
// open. s.mu is held.
func (s *Service) closeWhenDrained() {
	if s.stopping && s.openRequests == 0 {
		close(s.drained)
	}
}

// Do runs req until its response is complete or it has ended in another way. blocks
// holds the hashes of the prompt's blocks, see state.PromptBlockHashes. When ctx ends, the
// caller is gone and the request is cancelled; a non-idempotent request with a key
// goes on until its deadline instead, and Do returns only then. Do sets req.Policy.
func (s *Service) Do(ctx context.Context, req *state.Request, blocks []uint64, sink Sink) Result {
	r := &requestRun{
		service:  s,
		req:      req,
		blocks:   blocks,
		delivery: delivery{sink: sink},
		tried:    make(map[state.TargetID]state.Reason),
		log:      s.cfg.Log.With(zap.String("request", string(req.ID)), zap.String("customer", string(req.Customer))),
	}
	end := s.admitAndRun(ctx, r)
	result := r.result(end)
	r.reportResult(result)
	return result
}

// admitAndRun admits r and executes it. It refuses r when the service is stopping,
// when no bundle is in effect or when admission refuses.
func (s *Service) admitAndRun(ctx context.Context, r *requestRun) attemptEnd {
	if !s.beginRequest() {
		return refusedEnd(ReasonStopping, defaultRetryAfter, nil)
	}
	defer s.endRequest()
	r.bundle = s.cfg.Bundle()
	if r.bundle == nil {
		return refusedEnd(state.ReasonNoBundle, defaultRetryAfter, nil)
	}
	ticket, refusal := s.admission.Admit(time.Now(), r.bundle, r.req.Customer, r.req.Tier)
	if refusal != nil {
		return refusedEnd(refusal.Reason, refusal.RetryAfter, nil)
	}
	defer ticket.Release()
	r.ticket = ticket
	ticket.MarkWaiting()
	return r.execute(ctx)
}
