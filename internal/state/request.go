package state

import "time"

// RequestKind is the API that a request uses at its target.
type RequestKind uint8

// The kinds of request.
const (
	ChatCompletion RequestKind = iota + 1 // POST /v1/chat/completions at an engine
	Completion                            // POST /v1/completions at an engine
	PlainCall                             // any HTTP call to a plain service
)

// Header is one HTTP header field of a Request or a Head.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request is what a target needs to run a request, and what the side process
// needs to queue it.
type Request struct {
	ID           RequestID   `cbor:"1,keyasint"`
	Kind         RequestKind `cbor:"2,keyasint"`
	Service      Service     `cbor:"3,keyasint"`
	Model        string      `cbor:"4,keyasint,omitempty"`
	Customer     Customer    `cbor:"5,keyasint"`
	Weight       float64     `cbor:"6,keyasint"` // the customer's fair-share weight, > 0
	Tier         Tier        `cbor:"7,keyasint"`
	Idempotent   bool        `cbor:"8,keyasint"`
	ClaimKey     string      `cbor:"9,keyasint,omitempty"`  // see Claim.Key; empty when no key is claimed for the request
	Deadline     time.Time   `cbor:"10,keyasint"`           // absolute; a later response is of no use
	PromptTokens int         `cbor:"11,keyasint"`           // estimate made by the entry
	MaxTokens    int         `cbor:"12,keyasint,omitempty"` // upper bound on generated tokens; 0 when unknown
	Method       string      `cbor:"13,keyasint"`
	Path         string      `cbor:"14,keyasint"` // path and query as sent to the target
	Headers      []Header    `cbor:"15,keyasint,omitempty"`
	Body         []byte      `cbor:"16,keyasint,omitempty"`
	Policy       string      `cbor:"17,keyasint,omitempty"` // policy that placed the request, for counters
}

// Usage counts the tokens of one finished attempt.
type Usage struct {
	PromptTokens    int `cbor:"1,keyasint" json:"prompt_tokens"`
	CachedTokens    int `cbor:"2,keyasint" json:"cached_tokens"` // prompt tokens found in the engine's prefix cache
	GeneratedTokens int `cbor:"3,keyasint" json:"generated_tokens"`
}

// LoadFigures are the load figures of one target as its side process sees them.
type LoadFigures struct {
	Taken         time.Time     `cbor:"1,keyasint"`
	QueuedCount   [MaxTiers]int `cbor:"2,keyasint"` // queued attempts by tier
	QueuedTokens  [MaxTiers]int `cbor:"3,keyasint"` // queued prompt and expected output tokens by tier
	RunningCount  int           `cbor:"4,keyasint"`
	RunningTokens int           `cbor:"5,keyasint"`            // expected remaining output tokens of running attempts; a prompt counts as the number of output tokens that take as long
	Window        int           `cbor:"6,keyasint"`            // attempts that may run at once
	QueueLimit    int           `cbor:"7,keyasint"`            // largest number of queued attempts; 0 for none
	PrefillRate   float64       `cbor:"8,keyasint"`            // prompt tokens per second, measured; 0 before the first measurement
	DecodeRate    float64       `cbor:"9,keyasint"`            // generated tokens per second when saturated, measured or extrapolated from one attempt; 0 before the first measurement
	LowestQueued  Tier          `cbor:"10,keyasint"`           // NoTier when the queue is empty
	Models        []string      `cbor:"11,keyasint,omitempty"` // models that the engine reports as loaded
}

// QueueFull reports whether a new attempt would have to displace a queued one.
func (f *LoadFigures) QueueFull() bool {
	total := 0
	for _, n := range f.QueuedCount {
		total += n
	}
	return f.QueueLimit > 0 && total >= f.QueueLimit
}
