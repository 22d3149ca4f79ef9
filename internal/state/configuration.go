package state

import (
	"net/http"
	"slices"
	"time"
)

// RouteKind says whether requests of a route may be repeated, and whether their
// responses are streams.
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

// Configuration is one version of the operator's routes, customers and limits.
// It is immutable once published.
type Configuration struct {
	Version   int64
	Routes    []Route
	Customers []CustomerConfig // when empty, callers need no key
	Limits    CallerLimits
	// HealthPaths holds the paths of health checks, by service. A service that is not in it has
	// none.
	HealthPaths map[Service]string
}

// Route says how requests for one host and path prefix are served.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        RouteKind
	Resumable   bool          // a stream may be continued at another target
	Timeout     time.Duration // longest time that a request is kept waiting
	Objective   time.Duration // target for the time to the response, or to the first event of a stream
	Gap         time.Duration // target for the longest time between two events; 0 for none
	Patience    time.Duration // time without an event after which callers leave a stream; 0 if they wait until their deadline
	Tier        int           // 0 is the highest
	MaxAttempts int           // largest number of attempts of one call that may have run
	Anonymous   bool          // no key is needed
	Split       []ServiceWeight
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == IdempotentRoute || r.Kind == StreamingRoute && r.Resumable
}

// LeadsTo reports whether requests of the route may be sent to the service.
func (r *Route) LeadsTo(service Service) bool {
	return slices.ContainsFunc(r.Split, func(w ServiceWeight) bool { return w.Service == service })
}

// ServiceWeight is the share of a route's requests that a service receives.
type ServiceWeight struct {
	Service Service
	Weight  float64 // relative to the other services of the route
}

// CustomerConfig describes a customer, its API keys and its rate limit.
type CustomerConfig struct {
	Name  Customer
	Keys  []string
	Tier  int     // valid only if HasTier
	Rate  float64 // units per second; 0 for no limit
	Burst float64 // units
	// HasTier says that the customer's tier takes precedence over the route's.
	HasTier bool
	// CountsTokens says that the unit is a token; otherwise it is a request.
	CountsTokens bool
	// PlainCost is the cost, in units, of a request without token counts, and of
	// every request unless CountsTokens is set.
	PlainCost float64
}

// CallerLimits limits callers' requests and connections. Zero means no limit.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // from the first byte of a request to the end of its header section
	IdleTimeout    time.Duration
}

// SoftwareVersion is the version of the software that a target runs, not of its model
// weights. Versions have no order.
type SoftwareVersion string

// TargetRecord describes one target in the platform's list.
type TargetRecord struct {
	ID       TargetID
	Service  Service
	Address  string // IP:PORT
	Domain   FailureDomain
	Slots    int   // number of requests that the target runs at once
	Started  int64 // start time in Unix milliseconds; 0 when not stated
	Draining bool  // accepts no new requests
	// Software is empty when not stated. What targets of different versions write does
	// not fit together in one stream.
	Software SoftwareVersion
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
	Timeout    time.Duration // how long the caller waits for the response; valid only if HasTimeout
	HasTimeout bool
	// PromptTokens and MaxOutputTokens are the caller's token counts; valid only if
	// HasTokenCounts.
	PromptTokens    int
	MaxOutputTokens int
	HasTokenCounts  bool
	// Prompt lists the parts of the prompt in order, as far as the caller states
	// them.
	Prompt []PromptPart
	// EstimatedOutputTokens is the caller's estimate of the output tokens, 0 when
	// not stated.
	EstimatedOutputTokens int
	// ResumeAfter is the identifier of the last event that the caller received;
	// empty for a request for the whole stream.
	ResumeAfter string
	// ResumedRequest is the caller's request that brought the first event of the stream
	// that this one resumes; empty when not stated.
	ResumedRequest RequestID
}

// PromptPart is a section of a prompt that other prompts may have in common.
type PromptPart struct {
	ID     string
	Tokens int
}

// HeaderField is one HTTP header field of a Call or a Response. Header is its
// counterpart in the messages between entries and side processes.
type HeaderField struct{ Name, Value string }

// StatusMayHaveBody reports whether responses with a final status may have a body (RFC 9112, section 6.3).
func StatusMayHaveBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// Response is the head of a target's response.
type Response struct {
	Status    int
	Header    []HeaderField // end-to-end fields
	RequestID RequestID
	// HasSignature says that the response carries the target's signature.
	HasSignature bool
	// NotRun says that the target did not and will not run the request, which the response
	// names.
	NotRun bool
	// Misdirected says that another target now has the address.
	Misdirected bool
	// HasContentEncoding says that a content encoding was applied, which no target
	// does.
	HasContentEncoding bool
	// EndsWithConnection says that the response has neither a length nor chunks, so
	// that its body ends where the connection does. Such an end does not prove that the
	// body is complete: the connection of a target that crashes ends in the same way.
	EndsWithConnection bool
	// HasLength says that the length of the body is stated, or that there is none, so that a
	// body that was read to its end is whole.
	HasLength bool
	// AnnouncesClose says that the target closes the connection behind the response.
	AnnouncesClose bool
	// Stated is what the target states of itself.
	Stated Statement
}

// Statement is what a target states of itself in the head of a response.
type Statement struct {
	// RateLimit is the limit that the target states. RateLimitErr says why the stated one
	// could not be read; RateLimit is then meaningless.
	RateLimit    RateLimit
	RateLimitErr error
	// Pause is how long the target wants no requests from this entry, counted from the
	// response; 0 if it states none. PauseErr says why the stated one could not be read.
	Pause    time.Duration
	PauseErr error
	// Leaving says that the target is about to stop.
	Leaving bool
	Load    StatedLoad
}

// StatedLoad is the load that a target states of itself.
type StatedLoad struct {
	Running, Waiting, Slots int // valid only if Stated
	Stated                  bool
}

// RateLimit is how many requests a second a target takes from all entries together. The
// zero value means that the target states no limit.
type RateLimit struct {
	PerSecond float64 `cbor:"1,keyasint,omitempty"` // valid only if Stated; at least 0
	Stated    bool    `cbor:"2,keyasint,omitempty"`
}
