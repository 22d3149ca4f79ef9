package side

import (
	"context"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// attempt is an attempt that is queued, runs, or has ended and is retained.
type attempt struct {
	id           state.AttemptID
	entry        entryKey
	req          *state.Request // nil for an adopted attempt and once it has ended
	requestID    state.RequestID
	kind         state.RequestKind
	phase        state.Phase
	events       *eventBuffer
	tier         state.Tier
	customer     state.Customer
	weight       float64
	deadline     time.Time // zero if there is none
	keyed        bool      // the request has a key: the response is retained after its acknowledgement
	adopted      bool      // found at the target after a restart
	fetchStarted bool      // reading the response of an adopted attempt has begun
	// chunksAtAdoption is the number of chunks that the target held when the
	// attempt was adopted. They are excluded from the measured rates.
	chunksAtAdoption uint64
	promptTokens     int
	expectedOutput   int    // expected output tokens: maxOutput times the output ratio on arrival
	maxOutput        int    // most tokens that the request may generate, or a default
	arrivalSeq       uint64 // order of arrival, from 1; 0 before it is first queued

	started          time.Time               // when it was sent to the target or adopted
	firstChunk       time.Time               // arrival of the first chunk; zero before
	latestChunk      time.Time               // arrival of the latest chunk
	prefillTokens    int                     // prompt tokens that the target had to compute when the attempt started, including those of other attempts
	mayHaveRun       bool                    // set when it is sent to the target; cleared when it is known not to have run
	targetRejections int                     // how often the target did not admit it
	cancel           context.CancelCauseFunc // nil unless it runs
	stopReason       state.Reason            // why it was cancelled; empty if it was not

	ended         time.Time // when it was last added to the retained attempts; zero before
	retainedBytes int       // bytes counted against MaxRetainedBytes
	delivered     bool      // a planned stop need not wait for the owner to read it
	acked         bool      // the owner has acknowledged the response
}

func (a *attempt) isPlainCall() bool { return a.kind == state.PlainCall }

func (a *attempt) totalTokens() int { return a.promptTokens + a.expectedOutput }

// pastDeadline reports whether t is after the deadline.
func (a *attempt) pastDeadline(t time.Time) bool { return !a.deadline.IsZero() && t.After(a.deadline) }

// remainingWork returns the work that the target still has to do for a running
// attempt, at least one output token.
func (s *Service) remainingWork(a *attempt) workload {
	chunks, _ := a.events.size()
	// The output ratio may have fallen since the attempt arrived.
	expectedOutput := min(a.expectedOutput, s.expectedOutputFor(a.maxOutput))
	w := workload{count: 1, expectedOutput: max(1, expectedOutput-int(chunks))}
	if a.firstChunk.IsZero() {
		w.promptTokens = a.promptTokens
	}
	return w
}

// newAttempt returns an attempt for the request, not yet queued.
func (s *Service) newAttempt(d *state.Dispatch) *attempt {
	req := &d.Request
	a := &attempt{
		id: d.Attempt, entry: entryKeyOf(d.Attempt), req: req, events: newEventBuffer(), phase: state.AttemptQueued,
		requestID: req.ID, kind: req.Kind,
		tier: min(req.Tier, state.Tier(len(s.bundle.Tiers)-1)), customer: req.Customer,
		weight: req.Weight, deadline: req.Deadline, keyed: req.ClaimKey != "",
		promptTokens: req.PromptTokens, maxOutput: s.outputLimit(req),
	}
	if a.weight <= 0 {
		a.weight = 1
	}
	a.expectedOutput = s.expectedOutputFor(a.maxOutput)
	return a
}

// expectedOutputFor returns how many tokens a request that may generate
// maxOutput tokens is expected to generate.
func (s *Service) expectedOutputFor(maxOutput int) int {
	return max(1, int(float64(maxOutput)*s.rates.outputRatio))
}

// outputLimit returns the most tokens that the request may generate: its own
// maximum, that of its service, or defaultOutputTokens. A call of a plain
// service counts as 1.
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
	return defaultOutputTokens
}

// newAdopted returns an attempt that an earlier incarnation dispatched. Its
// request is unknown, so no deadline applies, and its response is retained as
// if the request had a key.
func newAdopted(l TargetAttempt) *attempt {
	return &attempt{
		id: l.Attempt, entry: entryKeyOf(l.Attempt), events: newEventBuffer(), phase: state.AttemptRunning,
		weight: 1, keyed: true, adopted: true, mayHaveRun: true, expectedOutput: defaultOutputTokens,
		kind: state.Completion, maxOutput: defaultOutputTokens, chunksAtAdoption: l.Chunks,
	}
}
