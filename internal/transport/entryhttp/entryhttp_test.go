package entryhttp

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// serviceFunc is a fake entry service.
type serviceFunc func(ctx context.Context, req *state.Request, sink entry.Sink) entry.Result

func (f serviceFunc) Do(ctx context.Context, req *state.Request, _ []uint64, sink entry.Sink) entry.Result {
	return f(ctx, req, sink)
}

var completeResult = entry.Result{Kind: entry.Complete}

// respondWith returns a service that sends chunks and then returns r.
func respondWith(r entry.Result, chunks ...string) serviceFunc {
	return func(_ context.Context, _ *state.Request, sink entry.Sink) entry.Result {
		for i, c := range chunks {
			if err := sink.Chunk(&state.Chunk{Offset: uint64(i), Data: []byte(c)}); err != nil {
				return entry.Result{Kind: entry.Cancelled, Err: err}
			}
		}
		return r
	}
}

const maxTestConnections = 16

func testBundle() *state.Bundle {
	sum := sha256.Sum256([]byte("secret"))
	return &state.Bundle{
		Tiers: []state.TierPolicy{
			{Name: "urgent", Timeout: state.Duration(time.Second)},
			{Name: "normal", Timeout: state.Duration(time.Minute)},
			{Name: "batch", Timeout: state.Duration(time.Hour)},
		},
		Customers: []state.CustomerPolicy{{Name: "c", KeySHA256: []string{hex.EncodeToString(sum[:])}, Weight: 2, HighestTier: "normal"}},
		Services: []state.ServicePolicy{
			{Name: "llm", Kind: state.EngineService, Models: []string{"m"}, DefaultTier: "batch", MaxTokens: 50},
			{Name: "app", Kind: state.PlainService, DefaultTier: "urgent"},
		},
	}
}

// serveOnLoopback starts a server and returns its address.
func serveOnLoopback(t *testing.T, service Service) string {
	t.Helper()
	_, address := startServer(t, service)
	return address
}

// startServer starts a server on loopback and returns it with its address.
func startServer(t *testing.T, service Service) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := testBundle()
	s := New(Config{Service: service, Bundle: func() *state.Bundle { return b }, MaxConnections: maxTestConnections, MaxBodyBytes: 64 << 20, Log: zap.NewNop()})
	go s.Serve(l)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s.Shutdown(ctx)
	})
	return s, l.Addr().String()
}

// doRequest sends one request to a new server with service. headers are pairs of name
// and value. The error is the one of reading the response body.
func doRequest(t *testing.T, service Service, method, path, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+serveOnLoopback(t, service)+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

const chatPath = "/v1/chat/completions"

// Guards against a stream that is altered, ends without [DONE] or contains the usage
// chunk for a caller that did not ask for it.
func TestStream(t *testing.T) {
	usage := `{"choices":[],"usage":{"prompt_tokens":1}}`
	for _, includeUsage := range []bool{false, true} {
		body := fmt.Sprintf(`{"model":"m","stream":true,"stream_options":{"include_usage":%t}}`, includeUsage)
		resp, got, err := doRequest(t, respondWith(completeResult, `{"choices":[{"index":0}],"usage":null}`, usage, "[DONE]"), "POST", chatPath, body)
		want := "data: {\"choices\":[{\"index\":0}],\"usage\":null}\n\n"
		if includeUsage {
			want += "data: " + usage + "\n\n"
		}
		want += "data: [DONE]\n\n"
		if err != nil || got != want || resp.Header.Get("Content-Type") != "text/event-stream" || resp.Header.Get(headerRequestID) == "" {
			t.Errorf("asked for usage %t: got %q, %v, headers %v", includeUsage, got, err, resp.Header)
		}
	}
}

// Guards against an incomplete stream that looks complete.
func TestStreamEndsWithErrorEvent(t *testing.T) {
	r := entry.Result{Kind: entry.Unknown, Reason: state.ReasonTargetSilent, Err: errors.New("silent")}
	_, got, err := doRequest(t, respondWith(r, `{"choices":[]}`), "POST", chatPath, `{"model":"m","stream":true}`)
	want := "data: {\"choices\":[]}\n\nevent: error\ndata: " +
		`{"error":{"message":"silent","type":"service_unavailable_error","code":"outcome_unknown","outcome":"unknown"}}` + "\n\n"
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if err == nil {
		t.Error("the body of an incomplete response ended regularly")
	}
}

// Guards against tool calls, choices, log probabilities or usage that are lost or
// changed when a stream is assembled.
func TestAssembledResponse(t *testing.T) {
	_, got, err := doRequest(t, respondWith(completeResult,
		`{"id":"x","object":"chat.completion.chunk","model":"m","created":5,"choices":[{"index":1,"delta":{"role":"assistant","content":"B"},"finish_reason":null}],"usage":null}`,
		`{"id":"x","object":"chat.completion.chunk","model":"m","created":5,"choices":[{"index":0,"delta":{"role":"assistant","content":"he"},"logprobs":{"content":[{"token":"he","logprob":-0.12345678901234567890,"bytes":null}]},"finish_reason":null}]}`,
		`{"choices":[{"index":0,"delta":{"content":"llo"},"logprobs":{"content":[{"token":"llo","logprob":-2,"bytes":[1]}]},"finish_reason":null}]}`,
		`{"choices":[{"index":1,"delta":{"tool_calls":[{"index":0,"id":"t0","type":"function","function":{"name":"f","arguments":"{\"a\""}},{"index":1,"id":"t1","type":"function","function":{"name":"g","arguments":""}}]}}]}`,
		`{"choices":[{"index":1,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"},{"index":0,"delta":{},"finish_reason":"stop"}]}`,
		`{"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2}}`,
	), "POST", chatPath, `{"model":"m","n":2}`)
	want := `{"id":"x","object":"chat.completion","model":"m","created":5,"choices":[
		{"index":0,"message":{"role":"assistant","content":"hello"},"logprobs":{"content":[{"token":"he","logprob":-0.12345678901234567890,"bytes":null},{"token":"llo","logprob":-2,"bytes":[1]}]},"finish_reason":"stop"},
		{"index":1,"message":{"role":"assistant","content":"B","tool_calls":[{"id":"t0","type":"function","function":{"name":"f","arguments":"{\"a\":1}"}},{"id":"t1","type":"function","function":{"name":"g","arguments":""}}]},"finish_reason":"tool_calls"}],
		"usage":{"prompt_tokens":7,"completion_tokens":2}}`
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(decodeJSON(t, want), decodeJSON(t, got)); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	_, got, _ = doRequest(t, respondWith(completeResult, `{"object":"text_completion","choices":[{"index":0,"text":"a","logprobs":{"tokens":["a"],"top_logprobs":[{"a":-1}]}}]}`,
		`{"choices":[{"index":0,"text":"b","logprobs":{"tokens":["b"],"top_logprobs":[{"b":-2}]},"finish_reason":"length"}]}`), "POST", "/v1/completions", `{"model":"m","prompt":"p"}`)
	want = `{"object":"text_completion","choices":[{"index":0,"text":"ab","logprobs":{"tokens":["a","b"],"top_logprobs":[{"a":-1},{"b":-2}]},"finish_reason":"length"}]}`
	if diff := cmp.Diff(decodeJSON(t, want), decodeJSON(t, got)); diff != "" {
		t.Errorf("completion (-want +got):\n%s", diff)
	}
}

func decodeJSON(t *testing.T, s string) any {
	t.Helper()
	d := json.NewDecoder(strings.NewReader(s))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		t.Fatalf("decode %q: %v", s, err)
	}
	return v
}

// Guards against a wrong status, error code, outcome or Retry-After for a result.
func TestFailures(t *testing.T) {
	refused := func(reason state.Reason) entry.Result {
		return entry.Result{Kind: entry.Refused, Reason: reason, RetryAfter: 1500 * time.Millisecond}
	}
	for _, c := range []struct {
		result                    entry.Result
		status                    int
		code, outcome, retryAfter string
	}{
		{refused(state.ReasonQueueFull), 429, "queue_full", "not-run", "2"},
		{refused("customer_limit"), 429, "customer_limit", "not-run", "2"},
		{refused(entry.ReasonNoTarget), 503, "no_target_available", "not-run", "2"},
		{refused(entry.ReasonClaimUnavailable), 503, "claim_unavailable", "not-run", "2"},
		{refused(state.ReasonTimeout), 504, "deadline_exceeded", "not-run", "2"},
		{entry.Result{Kind: entry.Refused, Reason: entry.ReasonKeyReused}, 409, "idempotency_key_reused", "not-run", ""},
		{entry.Result{Kind: entry.Unknown, Reason: state.ReasonTargetSilent}, 502, "outcome_unknown", "unknown", ""},
		{entry.Result{Kind: entry.TimedOut, Reason: state.ReasonTimeout}, 504, "deadline_exceeded", "unknown", ""},
		{entry.Result{Kind: entry.Failed, Reason: state.ReasonTargetError, Status: 422}, 422, "target_error", "", ""},
		{entry.Result{Kind: entry.Failed, Status: 400, Body: `{"error":{"code":"own"}}`}, 400, "own", "", ""},
		{entry.Result{Kind: entry.Expired, Reason: entry.ReasonResponseExpired}, 410, "completed_response_expired", "", ""},
	} {
		for _, stream := range []bool{false, true} {
			resp, body, _ := doRequest(t, respondWith(c.result), "POST", chatPath, fmt.Sprintf(`{"model":"m","stream":%t}`, stream))
			var e errorBody
			json.Unmarshal([]byte(body), &e)
			got := []string{fmt.Sprint(resp.StatusCode), string(e.Error.Code), resp.Header.Get(headerOutcome), resp.Header.Get("Retry-After")}
			if diff := cmp.Diff([]string{fmt.Sprint(c.status), c.code, c.outcome, c.retryAfter}, got); diff != "" {
				t.Errorf("%s, stream %t (-want +got):\n%s", c.code, stream, diff)
			}
		}
	}
}

// Guards against requests that reach the service although they must be rejected, and
// against parameters that are parsed wrongly.
func TestRequests(t *testing.T) {
	long := strings.Repeat("x", maxBodyBytes)
	for _, c := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		check                    func(r *state.Request) bool
	}{
		{"no key", "POST", chatPath, `{"model":"m"}`, []string{"Authorization", "Bearer other"}, 401, nil},
		{"unknown model", "POST", chatPath, `{"model":"n"}`, nil, 404, nil},
		{"malformed body", "POST", chatPath, `{"model":`, nil, 400, nil},
		{"body too large", "POST", chatPath, `{"model":"m","prompt":"` + long + `"}`, nil, 413, nil},
		{"method", "PUT", chatPath, "", nil, 405, nil},
		{"path", "GET", "/v2", "", nil, 404, nil},
		{"engine as plain service", "GET", "/services/llm/x", "", nil, 404, nil},
		{"tier above the customer's", "POST", chatPath, `{"model":"m"}`, []string{headerTier, "urgent"}, 403, nil},
		{"unknown tier", "POST", chatPath, `{"model":"m"}`, []string{headerTier, "x"}, 400, nil},
		{"timeout", "POST", chatPath, `{"model":"m"}`, []string{headerTimeout, "-1s"}, 400, nil},
		{"idempotent", "POST", chatPath, `{"model":"m"}`, []string{headerIdempotent, "yes"}, 400, nil},
		{"default tier", "POST", chatPath, `{"model":"m","messages":[{"role":"user","content":"abcd"}]}`, nil, 200, func(r *state.Request) bool {
			return r.Tier == 2 && r.Customer == "c" && r.Weight == 2 && r.Idempotent && r.ClaimKey == "" && r.MaxTokens == 50 && r.PromptTokens == 3 &&
				time.Until(r.Deadline) > 50*time.Minute && strings.Contains(string(r.Body), `"stream":true`) && strings.Contains(string(r.Body), `"include_usage":true`)
		}},
		{"tier and timeout", "POST", chatPath, `{"model":"m","max_tokens":5,"n":2}`, []string{headerTier, "normal", headerTimeout, "3s"}, 200, func(r *state.Request) bool {
			return r.Tier == 1 && r.MaxTokens == 10 && time.Until(r.Deadline) <= 3*time.Second
		}},
		{"key of a non-idempotent request", "POST", chatPath, `{"model":"m"}`, []string{headerIdempotent, "false", headerIdempotencyKey, "k"}, 200, func(r *state.Request) bool {
			return !r.Idempotent && len(r.ClaimKey) == 64
		}},
		{"default tier above the customer's", "GET", "/services/app/a%2Fb?q=1%202", "", []string{"X-Own", "1", "Connection", "X-Hop", "X-Hop", "1", headerTier, "batch"}, 200, func(r *state.Request) bool {
			names := ""
			for _, h := range r.Headers {
				names += strings.ToLower(h.Name) + " "
			}
			return r.Path == "/a%2Fb?q=1%202" && r.Tier == 2 && r.Idempotent && strings.Contains(names, "x-own") &&
				!strings.Contains(names, "x-hop") && !strings.Contains(names, "authorization") && !strings.Contains(names, "cassiaramp")
		}},
		{"plain post", "POST", "/services/app", "data", nil, 200, func(r *state.Request) bool {
			return r.Path == "/" && string(r.Body) == "data" && !r.Idempotent && r.Tier == 1
		}},
	} {
		var seen *state.Request
		service := serviceFunc(func(_ context.Context, req *state.Request, _ entry.Sink) entry.Result {
			seen = req
			return completeResult
		})
		resp, body, _ := doRequest(t, service, c.method, c.path, c.body, c.headers...)
		if resp.StatusCode != c.status || resp.Header.Get(headerRequestID) == "" {
			t.Errorf("%s: status %d, body %.200s, want %d", c.name, resp.StatusCode, body, c.status)
		}
		if (seen != nil) != (c.check != nil) {
			t.Errorf("%s: reached the service: %t", c.name, seen != nil)
		} else if c.check != nil && !c.check(seen) {
			t.Errorf("%s: request %+v", c.name, seen)
		}
	}
}

// Guards against a plain response that is altered, and against an incomplete one
// that looks complete.
func TestPlainResponse(t *testing.T) {
	piece := strings.Repeat("p", maxPlainBufferBytes)
	for _, long := range []bool{false, true} {
		for _, result := range []entry.Result{completeResult, {Kind: entry.Unknown, Err: errors.New("lost")}} {
			service := serviceFunc(func(_ context.Context, _ *state.Request, sink entry.Sink) entry.Result {
				sink.Head(&state.Head{Status: 203, Headers: []state.Header{{Name: "X-Own", Value: "1"}, {Name: "Connection", Value: "close"}, {Name: "Content-Type", Value: "text/x"}}})
				chunks := []string{"a", "b"}
				if long {
					chunks = []string{piece, piece}
				}
				return respondWith(result, chunks...)(nil, nil, sink)
			})
			resp, body, err := doRequest(t, service, "GET", "/services/app/", "")
			want := map[bool]string{false: "ab", true: piece + piece}[long]
			switch {
			case result.Kind == entry.Complete:
				if err != nil || resp.StatusCode != 203 || body != want || resp.Header.Get("X-Own") != "1" || resp.Header.Get("Content-Type") != "text/x" {
					t.Errorf("long %t: status %d, %d bytes, error %v, headers %v", long, resp.StatusCode, len(body), err, resp.Header)
				}
			case long && err == nil:
				t.Error("the body of an incomplete response ended regularly")
			case !long && resp.StatusCode != 502:
				t.Errorf("a short incomplete response has status %d, want 502", resp.StatusCode)
			}
		}
	}
}

// Guards against a request that continues after its caller has closed the
// connection, for a stream and for an assembled response, and against a connection
// that cannot be used for its next request after it was watched.
func TestClosedConnectionCancelsRequest(t *testing.T) {
	for _, body := range []string{`{"model":"m"}`, `{"model":"m","stream":true}`} {
		begun, ended := make(chan struct{}, 2), make(chan struct{})
		first := true
		addr := serveOnLoopback(t, serviceFunc(func(ctx context.Context, _ *state.Request, sink entry.Sink) entry.Result {
			if first {
				first = false
				return respondWith(completeResult, `{"choices":[]}`)(ctx, nil, sink)
			}
			begun <- struct{}{}
			<-ctx.Done()
			close(ended)
			return entry.Result{Kind: entry.Cancelled}
		}))
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReader(c)
		for i := range 2 {
			fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", chatPath, len(body), body)
			if i == 0 {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
			}
		}
		<-begun
		c.Close()
		select {
		case <-ended:
		case <-time.After(20 * time.Second):
			t.Fatal("the request continues after its caller has closed the connection")
		}
	}
}

// Guards against a caller above the connection limit that gets no error response.
func TestConnectionsAreBounded(t *testing.T) {
	addr := serveOnLoopback(t, respondWith(completeResult))
	for range maxTestConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	// Go's HTTP client reports a response that comes before its request as an
	// error, so the connection is read directly.
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != 429 || resp.Header.Get("Retry-After") != "1" || resp.Header.Get(headerOutcome) != outcomeNotRun || !strings.Contains(string(body), "entry_overloaded") {
		t.Errorf("status %d, headers %v, body %s", resp.StatusCode, resp.Header, body)
	}
}

// Guards against request bodies that together exceed MaxBodyBytes.
func TestBodiesAreBounded(t *testing.T) {
	s := New(Config{MaxBodyBytes: 10})
	var ctx fasthttp.RequestCtx
	ctx.Request.SetBodyString("12345678")
	ctx.Request.Header.SetContentLength(8)
	data, release, f := s.readBody(&ctx)
	if f != nil || string(data) != "12345678" {
		t.Fatalf("got %q, %+v", data, f)
	}
	if _, _, f := s.readBody(&ctx); f == nil || f.status != 429 || f.retryAfter <= 0 {
		t.Fatalf("a second body of 8 bytes, with a limit of 10: %+v", f)
	}
	release()
	if _, _, f := s.readBody(&ctx); f != nil {
		t.Fatalf("body rejected after the first was released: %+v", f)
	}
}

// Guards against a request without a body that reserves memory for the largest body:
// if a GET counts as 8 MiB, an entry with the default memory limit refuses the fifth
// concurrent one as overload.
func TestRequestsWithoutBodyReserveNoMemory(t *testing.T) {
	const requests = 12 // above the 8 bodies of unknown length that startServer allows
	finish := make(chan struct{})
	arrived := make(chan struct{}, requests)
	_, address := startServer(t, serviceFunc(func(context.Context, *state.Request, entry.Sink) entry.Result {
		arrived <- struct{}{}
		<-finish
		return completeResult
	}))
	status := make(chan int, requests)
	for range requests {
		go func() {
			req, _ := http.NewRequest("GET", "http://"+address+"/services/app/x", nil)
			req.Header.Set("Authorization", "Bearer secret")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Error(err)
				status <- 0
				return
			}
			resp.Body.Close()
			status <- resp.StatusCode
		}()
	}
	open := 0
	for range requests {
		select {
		case <-arrived:
			open++
		case got := <-status:
			t.Errorf("request ended with status %d while %d are open", got, open)
		}
	}
	close(finish)
	for range open {
		if got := <-status; got != http.StatusOK {
			t.Errorf("status %d, want 200", got)
		}
	}
}

// Guards against a list of models that differs from the bundle's.
func TestModels(t *testing.T) {
	_, body, _ := doRequest(t, respondWith(completeResult), "GET", "/v1/models", "")
	if want := `{"object":"list","data":[{"id":"m","object":"model","owned_by":"llm"}]}`; body != want {
		t.Errorf("got %s, want %s", body, want)
	}
}

// Guards against a caller that reads nothing and keeps its connection, and against
// cutting off a caller that reads slowly.
func TestWriteDeadline(t *testing.T) {
	for _, callerReads := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			serverEnd, callerEnd := net.Pipe()
			defer callerEnd.Close()
			var reader sync.WaitGroup
			if callerReads {
				reader.Go(func() {
					for err := error(nil); err == nil; time.Sleep(writeTimeout * 3 / 4) {
						_, err = io.CopyN(io.Discard, callerEnd, maxWriteBytes)
					}
				})
			}
			c := &conn{Conn: serverEnd}
			begin := time.Now()
			_, err := c.Write(make([]byte, 4*maxWriteBytes))
			took := time.Since(begin)
			c.Close()
			reader.Wait()
			if (err == nil) != callerReads || !callerReads && took != writeTimeout {
				t.Errorf("caller reads %t: write ended after %s with error %v", callerReads, took, err)
			}
		})
	}
}

// Guards against a waiting stream on which nothing is sent, so that a caller that is
// gone is not detected.
func TestKeepAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ctx fasthttp.RequestCtx
		e := &exchange{ctx: &ctx, callerGone: make(chan struct{}), done: make(chan struct{})}
		out := &eventSink{responseBody: newResponseBody(0)}
		go func() {
			defer close(e.done)
			time.Sleep(12 * time.Second)
			out.finish(respondWith(completeResult, `{}`)(nil, nil, out))
		}()
		begin := time.Now()
		e.respondEvents(out)
		if waited := time.Since(begin); waited != keepAliveInterval {
			t.Errorf("status sent after %s", waited)
		}
		got, err := io.ReadAll(ctx.Response.BodyStream())
		if want := ": keep-alive\n\n: keep-alive\n\ndata: {}\n\ndata: [DONE]\n\n"; string(got) != want || err != nil {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
	})
}

// Guards against a planned stop that closes pooled connections while callers still
// send on them: if the responses of a stopping entry keep a connection open, the next
// request on it may end without a response.
func TestStopAccepting(t *testing.T) {
	s, address := startServer(t, respondWith(entry.Result{Kind: entry.Refused, Reason: entry.ReasonStopping}))
	paths := []string{chatPath, "/services/app/x", "/none"}
	pooled := make([]net.Conn, len(paths))
	readers := make([]*bufio.Reader, len(paths))
	for i, path := range paths {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		pooled[i], readers[i] = c, bufio.NewReader(c)
		if resp := postOn(t, c, readers[i], path); resp.Close {
			t.Errorf("%s: the response closes the connection before the stop", path)
		}
	}
	s.StopAccepting()
	if c, err := net.Dial("tcp", address); err == nil {
		c.Close()
		t.Error("a new connection was accepted after the stop")
	}
	for i, path := range paths {
		if resp := postOn(t, pooled[i], readers[i], path); !resp.Close {
			t.Errorf("%s: the response keeps the connection open after the stop", path)
		}
		if _, err := readers[i].ReadByte(); err != io.EOF {
			t.Errorf("%s: read after the last response: %v, want EOF", path, err)
		}
	}
}

// postOn sends a request on c and reads its response from r.
func postOn(t *testing.T, c net.Conn, r *bufio.Reader, path string) *http.Response {
	t.Helper()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	body := `{"model":"m"}`
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return resp
}
