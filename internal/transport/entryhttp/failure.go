package entryhttp

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/coordination/admission"
	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Values of the header Cassiaramp-Outcome.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// Values of the field type of an error object.
const (
	typeInvalid     = "invalid_request_error"
	typePermission  = "permission_error"
	typeRateLimit   = "rate_limit_error"
	typeUnavailable = "service_unavailable_error"
	typeTimeout     = "timeout_error"
	typeTarget      = "target_error"
)

// Error codes that originate in this package.
const (
	codeInvalidRequest   state.Reason = "invalid_request"
	codeInvalidKey       state.Reason = "invalid_api_key"
	codeNotFound         state.Reason = "not_found"
	codeModelNotFound    state.Reason = "model_not_found"
	codeTierNotAllowed   state.Reason = "tier_not_allowed"
	codeResponseTooLarge state.Reason = "response_too_large"
	codeMethodNotAllowed state.Reason = "method_not_allowed"
)

// failure is an error response.
type failure struct {
	status     int
	code       state.Reason
	errorType  string // one of the type constants
	message    string
	outcome    string // value of Cassiaramp-Outcome; empty for no header
	retryAfter time.Duration
	targetBody []byte // JSON object from the target, sent in place of errorBody; nil for none
}

// errorBody is the JSON body of an error response or error event. Outcome and
// RetryAfter are set only in an error event, which has no headers.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message    string       `json:"message"`
	Type       string       `json:"type"`
	Code       state.Reason `json:"code"`
	Outcome    string       `json:"outcome,omitempty"`
	RetryAfter int          `json:"retry_after,omitempty"` // seconds
}

// invalidRequest returns the failure of a request that cannot succeed unless the
// caller changes it.
func invalidRequest(status int, code state.Reason, message string) *failure {
	return &failure{status: status, code: code, errorType: typeInvalid, message: message, outcome: outcomeNotRun}
}

// failureForResult returns the error response for a result other than
// entry.Complete.
func failureForResult(r entry.Result) *failure {
	f := &failure{code: r.Reason, message: string(r.Reason)}
	if r.Err != nil {
		f.message = r.Err.Error()
	}
	switch r.Kind {
	case entry.Refused:
		f.outcome, f.retryAfter = outcomeNotRun, r.RetryAfter
		f.status, f.errorType = refusalStatus(r.Reason)
		if f.retryAfter <= 0 && f.status != http.StatusConflict && f.status != http.StatusRequestEntityTooLarge {
			f.retryAfter = time.Second
		}
	case entry.TimedOut:
		f.status, f.errorType, f.outcome = http.StatusGatewayTimeout, typeTimeout, outcomeUnknown
	case entry.Failed:
		f.status, f.errorType = http.StatusBadGateway, typeTarget
		if r.Status >= http.StatusBadRequest && r.Status < 600 {
			f.status = r.Status
		}
		if json.Valid([]byte(r.Body)) && len(r.Body) > 0 && r.Body[0] == '{' {
			f.targetBody = []byte(r.Body)
		}
	case entry.Expired:
		f.status, f.errorType = http.StatusGone, typeUnavailable
	default:
		f.status, f.code, f.errorType, f.outcome = http.StatusBadGateway, entry.ReasonOutcomeUnknown, typeUnavailable, outcomeUnknown
	}
	return f
}

// refusalStatus returns the HTTP status and error type for a refused request.
func refusalStatus(reason state.Reason) (int, string) {
	if reason.IsOverload() {
		return http.StatusTooManyRequests, typeRateLimit
	}
	switch reason {
	case admission.ReasonCustomerLimit, admission.ReasonOverloaded:
		return http.StatusTooManyRequests, typeRateLimit
	case state.ReasonTimeout:
		return http.StatusGatewayTimeout, typeTimeout
	case entry.ReasonKeyReused:
		return http.StatusConflict, typeInvalid
	case state.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge, typeInvalid
	case admission.ReasonUnknownCustomer:
		return http.StatusForbidden, typePermission
	}
	return http.StatusServiceUnavailable, typeUnavailable
}

// ceilSeconds returns d in seconds, rounded up so that a caller that waits this long
// does not retry too early.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// write sets f as the response of ctx.
func (f *failure) write(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(f.status)
	if f.outcome != "" {
		ctx.Response.Header.Set(headerOutcome, f.outcome)
	}
	if f.retryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(ceilSeconds(f.retryAfter)))
	}
	ctx.SetContentType("application/json")
	body := f.targetBody
	if body == nil {
		body = mustMarshal(errorBody{errorDetail{Message: f.message, Type: f.errorType, Code: f.code}})
	}
	ctx.SetBody(body)
}

// event returns f as a server-sent event of type error.
func (f *failure) event() []byte {
	detail := errorDetail{Message: f.message, Type: f.errorType, Code: f.code, Outcome: f.outcome, RetryAfter: ceilSeconds(f.retryAfter)}
	return appendEvent([]byte("event: error\n"), mustMarshal(errorBody{detail}))
}

// mustMarshal encodes v as JSON. It panics on an error, which the types of this
// package do not cause.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
