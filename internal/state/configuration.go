package state

import "time"

// RouteKind says what may be repeated of the requests on a route.
type RouteKind uint8

// The kinds of routes.
const (
	// IdempotentRoute requests may run more than once.
	IdempotentRoute RouteKind = iota + 1
	// NonIdempotentRoute requests run at most once for each call of a caller.
	NonIdempotentRoute
	// StreamingRoute responses are event streams. They run at most once unless
	// the route is resumable.
	StreamingRoute
)

// String returns the kind as it appears in logs.
func (k RouteKind) String() string {
	switch k {
	case IdempotentRoute:
		return "idempotent"
	case NonIdempotentRoute:
		return "non-idempotent"
	case StreamingRoute:
		return "streaming"
	default:
		return "unknown"
	}
}

// Configuration is a version of the operator's routes, customers and
// limits. It is immutable once published.
type Configuration struct {
	Version   int64
	Routes    []Route
	Customers []CustomerConfig // empty: callers need no key
	Limits    CallerLimits
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        RouteKind
	Resumable   bool          // a stream may go on at another target
	Timeout     time.Duration // longest time that a request is kept waiting
	Objective   time.Duration // time to the response, or to the first event
	Gap         time.Duration // longest pause between events that is still on time
	Tier        int           // 0 is the highest
	MaxAttempts int           // targets that one call may be sent to
	Anonymous   bool          // no key is needed
	Split       []ServiceWeight
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == IdempotentRoute || r.Kind == StreamingRoute && r.Resumable
}

// ServiceWeight is a service's part of a route's requests.
type ServiceWeight struct {
	Service Service
	Weight  float64
}

// CustomerConfig describes a customer, its keys and its allowance.
type CustomerConfig struct {
	Name  Customer
	Keys  []string
	Tier  int     // valid only if HasTier
	Rate  float64 // units per second, 0: no limit
	Burst float64 // units
	// HasTier says that the customer's tier goes before that of the route.
	HasTier bool
	// CountsTokens says that the unit is a token; otherwise it is a request.
	CountsTokens bool
	// PlainCost is what a request without a token count costs.
	PlainCost float64
}

// CallerLimits bounds what a caller may send. Zero means no limit.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	IdleTimeout    time.Duration
}

// TargetRecord is what the platform's list says of one target.
type TargetRecord struct {
	ID       TargetID
	Service  Service
	Address  string // IP:PORT
	Domain   FailureDomain
	Slots    int   // requests that it runs at once
	Started  int64 // Unix milliseconds of its start, 0 when not stated
	Draining bool  // takes no new work
}

// Call is a caller's request as the gateway forwards it.
type Call struct {
	ID         RequestID
	Method     string
	URI        string // request target as the caller sent it
	Host       string
	Path       string
	Header     []HeaderField // end-to-end fields that are forwarded unchanged
	Body       []byte
	APIKey     string        // the caller's key, never forwarded
	Timeout    time.Duration // how long the caller waits, 0 when not stated
	HasTimeout bool
	// Tokens is the size of the prompt and the most output tokens, 0 when not
	// stated.
	PromptTokens    int
	MaxOutputTokens int
	HasTokenCounts  bool
	// Prompt lists the parts of the prompt in order, as far as the caller names them.
	Prompt []PromptPart
	// EstimatedOutputTokens is the caller's estimate of the output tokens, 0 when not
	// stated.
	EstimatedOutputTokens int
	// ResumeAfter is the identifier of the last event that the caller has, empty
	// for a request from the start.
	ResumeAfter string
}

// PromptPart is a part of a prompt, which other prompts may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// HeaderField is one header field.
type HeaderField struct{ Name, Value string }

// Response is the head of a target's response.
type Response struct {
	Status    int
	Header    []HeaderField // end-to-end fields
	RequestID RequestID
	// HasSignature says that the target's proof of the response is present.
	HasSignature bool
	// NotRun says that the target states that it did not and will not run the
	// request.
	NotRun bool
	// Misdirected says that another target has the address now.
	Misdirected bool
	// HasContentEncoding says that a content encoding was applied, which no target does.
	HasContentEncoding bool
}
