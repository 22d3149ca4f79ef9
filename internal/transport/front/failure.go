package front

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

// The values of Cassiaramp-Outcome.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// The types of error that callers see.
const (
	typeInvalid     = "invalid_request_error"
	typePermission  = "permission_error"
	typeRateLimit   = "rate_limit_error"
	typeUnavailable = "service_unavailable_error"
	typeTimeout     = "timeout_error"
	typeTarget      = "target_error"
)

// The error codes that arise in this package.
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
	kind       string // type of error
	message    string
	outcome    string // empty when the header does not apply
	retryAfter time.Duration
	body       []byte // sent as it is in place of the error shape, when set
}

// errorBody is the JSON error shape. Outcome and RetryAfter are set only in an
// error event, which cannot carry headers.
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

// invalid returns the failure of a request that must be changed by the caller.
func invalid(status int, code state.Reason, message string) *failure {
	return &failure{status: status, code: code, kind: typeInvalid, message: message, outcome: outcomeNotRun}
}

// failureOf returns how a result other than entry.Complete is reported.
func failureOf(r entry.Result) *failure {
	f := &failure{code: r.Reason, message: string(r.Reason)}
	if r.Err != nil {
		f.message = r.Err.Error()
	}
	switch r.Kind {
	case entry.Refused:
		f.outcome, f.retryAfter = outcomeNotRun, r.RetryAfter
		f.status, f.kind = refusalStatus(r.Reason)
		if f.retryAfter <= 0 && f.status != http.StatusConflict && f.status != http.StatusRequestEntityTooLarge {
			f.retryAfter = time.Second
		}
	case entry.TimedOut:
		f.status, f.kind, f.outcome = http.StatusGatewayTimeout, typeTimeout, outcomeUnknown
	case entry.Failed:
		f.status, f.kind = http.StatusBadGateway, typeTarget
		if r.Status >= http.StatusBadRequest && r.Status < 600 {
			f.status = r.Status
		}
		if json.Valid([]byte(r.Body)) && len(r.Body) > 0 && r.Body[0] == '{' {
			f.body = []byte(r.Body)
		}
	case entry.Expired:
		f.status, f.kind = http.StatusGone, typeUnavailable
	default:
		f.status, f.code, f.kind, f.outcome = http.StatusBadGateway, entry.ReasonOutcomeUnknown, typeUnavailable, outcomeUnknown
	}
	return f
}

// refusalStatus returns the HTTP status and error type of a refusal.
func refusalStatus(reason state.Reason) (int, string) {
	if reason.ForLoad() {
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

// seconds rounds up, so that a caller that waits as told is not early.
func seconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// write makes f the response.
func (f *failure) write(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(f.status)
	if f.outcome != "" {
		ctx.Response.Header.Set(headerOutcome, f.outcome)
	}
	if f.retryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds(f.retryAfter)))
	}
	ctx.SetContentType("application/json")
	body := f.body
	if body == nil {
		body = mustMarshal(errorBody{errorDetail{Message: f.message, Type: f.kind, Code: f.code}})
	}
	ctx.SetBody(body)
}

// event returns f as a server-sent event.
func (f *failure) event() []byte {
	detail := errorDetail{Message: f.message, Type: f.kind, Code: f.code, Outcome: f.outcome, RetryAfter: seconds(f.retryAfter)}
	return appendEvent([]byte("event: error\n"), mustMarshal(errorBody{detail}))
}

// mustMarshal encodes a value of this package, which cannot fail.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
