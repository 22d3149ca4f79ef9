// Package gateway implements the lifecycle of a request that an entry sends directly to
// a target, without side processes. It finds the route and the customer, charges the
// customer's allowance, obtains a target from the scheduler (package dispatch) and
// forwards the response, with further attempts at other targets where that is allowed.
// Requests that go through side processes are in package entry.
//
// Invariants:
//   - A request that may not be repeated is sent again only with proof that it did
//     not run.
//   - A refusal says "not run" only if no attempt may have run.
//   - A response that ends early never looks complete to the caller.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// ErrNotSent means that the request certainly did not reach the target.
var ErrNotSent = errors.New("request not sent")

// ErrGrantExpired means that the request was not sent because Forward.SendBy had passed: the
// process was paused or delayed meanwhile.
var ErrGrantExpired = fmt.Errorf("%w: the grant of the target has expired", ErrNotSent)

// ErrGrantWithdrawn means that the request was not sent because Forward.Holds was false: the
// target has stated meanwhile that it takes no requests.
var ErrGrantWithdrawn = fmt.Errorf("%w: the target takes no requests any more", ErrNotSent)

// ErrShortage means that the entry itself is short of descriptors, local ports or memory for
// sockets. It says nothing about the target.
var ErrShortage = errors.New("the entry is short of descriptors")

// Forward is a caller's request together with what the target is told about it.
type Forward struct {
	Call        *state.Call
	Target      state.TargetRecord
	Customer    state.Customer
	TimeLeft    time.Duration // time left for the response
	ResumeAfter string        // ID of the event to resume a stream after; empty: start
	// SendBy is when the grant of the target expires. What it rests on, such as the list of
	// targets and the parts of limits, may have changed by then.
	SendBy time.Time
	// Holds reports whether the request may still be sent by what its target has stated. It
	// is called once, when the connection is open.
	Holds func() bool
}

// TargetClient sends requests to targets.
type TargetClient interface {
	// Send sends a request once. The error wraps ErrNotSent when the target
	// certainly did not get it, ErrGrantExpired if that was because of SendBy, and
	// ErrGrantWithdrawn if because of Holds, and ErrShortage if the entry lacks what
	// it takes to send.
	// Cancelling ctx cancels the request.
	Send(ctx context.Context, f *Forward) (Exchange, error)
	// Refuses reports whether connections to an address are refused, which shows that the
	// target there has ended.
	Refuses(ctx context.Context, address string) bool
	// Closes reports whether connections to an address that does not refuse them are closed
	// soon after, without a request.
	Closes(ctx context.Context, address string) bool
	// CheckRunning asks a target that has just closed a connection whether it still runs.
	// healthPath is the path of health checks of its service, or empty if there is none. The
	// check is bounded.
	CheckRunning(ctx context.Context, target *state.TargetRecord, healthPath string) RunCheck
	// IdleClosedAt returns when a target closed its idle connections, as a server does that begins to
	// shut down; zero if it has not, or had none.
	IdleClosedAt(target state.TargetID, address string) time.Time
}

// HealthChecker is a TargetClient that can ask for the health of a target at little cost.
type HealthChecker interface {
	// CheckHealth asks a target for its health once, on an idle connection if there is one. It asks
	// on a new connection if there is none, or where the answer leaves a doubt.
	CheckHealth(ctx context.Context, target *state.TargetRecord, healthPath string) RunCheck
}

// Liveness is what is known of a target after it has closed a connection.
type Liveness uint8

const (
	// Unproved: the target did not answer in time, or with nothing that identifies it.
	Unproved Liveness = iota
	// Running: the same incarnation of the target passed a health check that was sent after the
	// close or, if its service has none, answered a request.
	Running
	// Ended: connections are refused, or another incarnation answers at the address.
	Ended
	// Leaving: the same incarnation answered that it is not healthy, or leaves.
	Leaving
)

// String returns the value as it appears in logs and names of counters.
func (l Liveness) String() string { return [...]string{"unproved", "running", "ended", "leaving"}[l] }

// RunCheck is the result of TargetClient.CheckRunning.
type RunCheck struct {
	Liveness Liveness
	Refused  bool // connections are refused: the target has ended or accepts no more
	// SameIncarnation says that the same incarnation answered, although it is Unproved: it is full,
	// so that its health check waits or is rejected.
	SameIncarnation bool
	// TimedOut says that the time of the check ended before the target had shown anything, so that a
	// further check may prove more.
	TimedOut bool
	// IdleClosedAt is when the target closed its idle connections, as a server does that begins to
	// shut down; zero if it has not, or had none.
	IdleClosedAt time.Time
	Asked        string // the last request that was sent, for logs
	Answer       string // what came of it, for logs
	Tries        int    // connections on which the target was asked, or that could not be opened
}

// Exchange is a request that was sent and its response. It is not safe for
// concurrent use.
type Exchange interface {
	// Head waits for the head of the response.
	Head() (*state.Response, error)
	// Read reads the body. It returns io.EOF only if the body is complete or, for a
	// response that ends with its connection, if that was closed without an error.
	io.Reader
	// Close ends the exchange. bodyRead says that the body was read to its end, so
	// that the connection may be reused.
	Close(bodyRead bool)
}

// Withdrawer is an Exchange that can ask its target to abandon the request and still read the
// response if the target goes on.
type Withdrawer interface {
	// Withdraw asks the target to abandon the request. It returns false if it cannot, or if
	// it would not learn whether the target has been asked.
	Withdraw() bool
	// Reached reports whether the host of the target has received what was sent.
	Reached() bool
}

// ConnectionWatcher is an Exchange that knows what happens on its connection.
type ConnectionWatcher interface {
	// StaysOpen reports whether the connection is still open, and idle, after a while behind the end
	// of the body, which was read.
	StaysOpen(wait time.Duration) bool
	// Received returns the bounds of when the last data of the response arrived, also if it has not
	// been read. known is false if they are not known, or if the end of the response is no data.
	Received() (earliest, latest time.Time, known bool)
}

// Responder writes the response to the caller. At most one of Respond, Fail and
// BeginStream is called. BeginStream is followed by WriteEvent for each event and
// by EndStream or Abort. If the caller leaves before a response begins, only Abort
// is called.
type Responder interface {
	// Respond sends a target's complete response.
	Respond(r *state.Response, body []byte) error
	// BeginStream sends the head of a response whose body is an event stream.
	BeginStream(r *state.Response) error
	// WriteEvent sends one event and flushes it.
	WriteEvent(b []byte) error
	// EndStream ends a complete stream.
	EndStream() error
	// Abort ends the response such that the caller can tell that it is incomplete.
	Abort()
	// Fail sends an error response that the entry itself generates.
	Fail(f Failure) error
}

// FailureKind says what a failure tells the caller about the request.
type FailureKind uint8

// The kinds of failures.
const (
	// NotRun: the request did not run and will not. The caller may repeat it.
	NotRun FailureKind = iota + 1
	// OverAllowance: the request did not run because the customer's allowance is
	// used up.
	OverAllowance
	// UnknownKey: no customer holds the key.
	UnknownKey
	// UnknownRoute: no route matches the host and path.
	UnknownRoute
	// UnknownOutcome: the request may have run.
	UnknownOutcome
	// TimedOut: the deadline passed and the request may have run.
	TimedOut
)

// String returns the kind as it appears in logs.
func (k FailureKind) String() string {
	return [...]string{"", "not_run", "over_allowance", "unknown_key", "unknown_route", "unknown_outcome", "timed_out"}[k]
}

// Failure is an error response that the entry itself generates.
type Failure struct {
	Kind       FailureKind
	Reason     string        // for logs and counters
	RetryAfter time.Duration // 0: not stated
}
