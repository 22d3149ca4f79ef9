package side

import (
	"context"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// attempt is an attempt that is queued, runs, or has ended and is retained.
type attempt struct {
	id       state.AttemptID
	entry    entryKey
	req      *state.Request // nil for an adopted attempt and once it has ended
	request  state.RequestID
	kind     state.Kind
	phase    state.Phase
	record   *record
	tier     state.Tier
	customer state.Customer
	weight   float64
	deadline time.Time // zero for none
	keyed    bool      // the response outlives its acknowledgement
	adopted  bool      // found at the target after a restart
	fetched  bool      // the response of an adopted attempt is being read or was read
	// chunksAtTarget is the number of chunks that the target held when the
	// attempt was adopted. They say nothing about its present speed.
	chunksAtTarget uint64
	prompt         int // tokens
	output         int // expected tokens, scaled by what earlier requests used
	limit          int // most tokens that the request may generate, or the default
	arrival        uint64

	started     time.Time
	first       time.Time // first chunk
	latest      time.Time // latest chunk
	prefillLoad int       // prompt tokens that the target had to compute when it started
	mayHaveRun  bool
	admissions  int                     // how often the target turned it away
	cancel      context.CancelCauseFunc // nil unless it runs
	stopReason  state.Reason            // why it was cancelled

	ended     time.Time
	held      int // bytes counted against MaxRetained
	delivered bool
	acked     bool
}

func (a *attempt) plain() bool { return a.kind == state.PlainCall }

func (a *attempt) tokens() int { return a.prompt + a.output }

// late reports whether t is after the deadline.
func (a *attempt) late(t time.Time) bool { return !a.deadline.IsZero() && t.After(a.deadline) }

// remaining returns the work that the target still has to do for a running
// attempt. At least one token of output is left.
func (s *Service) remaining(a *attempt) work {
	chunks, _ := a.record.size()
	// The expectation may have been corrected since the attempt arrived.
	output := min(a.output, s.expected(a.limit))
	w := work{count: 1, output: max(1, output-int(chunks))}
	if a.first.IsZero() {
		w.prompt = a.prompt
	}
	return w
}

// newAttempt returns an attempt for the request, not yet queued.
func (s *Service) newAttempt(d *state.Dispatch) *attempt {
	req := &d.Request
	a := &attempt{
		id: d.Attempt, entry: keyOf(d.Attempt), req: req, record: newRecord(), phase: state.AttemptQueued,
		request: req.ID, kind: req.Kind,
		tier: min(req.Tier, state.Tier(len(s.bundle.Tiers)-1)), customer: req.Customer,
		weight: req.Weight, deadline: req.Deadline, keyed: req.Key != "",
		prompt: req.PromptTokens, limit: s.outputLimit(req),
	}
	if a.weight <= 0 {
		a.weight = 1
	}
	a.output = s.expected(a.limit)
	return a
}

// expected returns how many tokens a request generates that may generate limit.
func (s *Service) expected(limit int) int { return max(1, int(float64(limit)*s.speed.output)) }

// outputLimit returns the most tokens that the request may generate, or what is
// expected when it names no maximum.
func (s *Service) outputLimit(req *state.Request) int {
	if req.Kind == state.PlainCall {
		return 1
	}
	if req.MaxTokens > 0 {
		return req.MaxTokens
	}
	if p, ok := s.bundle.ServiceByName(req.Service); ok && p.MaxTokens > 0 {
		return p.MaxTokens
	}
	return defaultOutput
}

// newAdopted returns an attempt that an earlier incarnation dispatched. Its
// request is unknown, so its response is retained as if it had a key, and no
// deadline applies.
func newAdopted(l Live) *attempt {
	return &attempt{
		id: l.Attempt, entry: keyOf(l.Attempt), record: newRecord(), phase: state.AttemptRunning,
		weight: 1, keyed: true, adopted: true, mayHaveRun: true, output: defaultOutput,
		kind: state.Completion, limit: defaultOutput, chunksAtTarget: l.Chunks,
	}
}
