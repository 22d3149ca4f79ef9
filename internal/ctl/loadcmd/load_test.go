package loadcmd

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/standin"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// serve runs an HTTP server on loopback and returns its URL.
func serve(t *testing.T, handle fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handle, Logger: silentLogger{}}
	go server.Serve(ln)
	t.Cleanup(func() { server.Shutdown() })
	return "http://" + ln.Addr().String()
}

type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}

// testCommand returns a short load for the given entries.
func testCommand(entries ...string) *Command {
	return &Command{
		Entry: entries, Duration: 300 * time.Millisecond, Rate: 200, Seed: 3, Model: "m", Service: "s", CustomerKey: []string{"a", "b"},
		Tier: []string{"high", "low"}, Timeout: 5 * time.Second, PromptTokens: 20, OutputTokens: 3, MaxOpen: 100,
	}
}

// streamEvent returns one event of a streamed chat.
func streamEvent(token, finish string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":%q}]}\n\n", token, finish)
}

const usageOfTwoTokens = "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\n"

// Guards against a check that passes a response that is incomplete, reordered or
// miscounted, and against one that treats an explicit error as a violation.
func TestResponseOutcomes(t *testing.T) {
	completeStream := streamEvent("t0 ", "") + streamEvent("t1 ", "") + streamEvent("", "stop") + usageOfTwoTokens + "data: [DONE]\n\n"
	completeBody := `{"choices":[{"message":{"content":"t0 t1"},"finish_reason":"stop"}],"usage":{"completion_tokens":2}}`
	for _, tc := range []struct {
		name     string
		streamed bool
		status   int
		header   string
		body     string
		broken   bool // the connection is closed before the last chunk
		want     outcome
	}{
		{"stream", true, 200, "", completeStream, false, outcomeComplete},
		{"no [DONE]", true, 200, "", strings.Replace(completeStream, "data: [DONE]", "", 1), false, outcomeCut},
		{"no finish_reason", true, 200, "", strings.Replace(completeStream, "stop", "", 1), false, outcomeCut},
		{"token missing", true, 200, "", streamEvent("t0 ", "") + streamEvent("t2 ", "stop") + usageOfTwoTokens + "data: [DONE]\n\n", false, outcomeCut},
		{"token repeated", true, 200, "", streamEvent("t0 ", "") + streamEvent("t0 ", "stop") + usageOfTwoTokens + "data: [DONE]\n\n", false, outcomeCut},
		{"usage differs", true, 200, "", strings.Replace(completeStream, "tokens\":2", "tokens\":3", 1), false, outcomeCut},
		{"[DONE] without its blank line", true, 200, "", strings.TrimSuffix(completeStream, "\n"), false, outcomeCut},
		{"no line end after [DONE]", true, 200, "", strings.TrimRight(completeStream, "\n"), false, outcomeCut},
		{"two events as one", true, 200, "", strings.Replace(completeStream, "\n\n", "\n", 1), false, outcomeCut},
		{"data of several lines", true, 200, "", strings.Replace(completeStream, "{\"choices\"", "{\ndata: \"choices\"", 1), false, outcomeComplete},
		{"data after [DONE]", true, 200, "", completeStream + streamEvent("t2 ", ""), false, outcomeCut},
		{"connection broken", true, 200, "", streamEvent("t0 ", ""), true, outcomeBroken},
		{"error event after a gap", true, 200, "", streamEvent("t1 ", "") + "data: {\"error\":{\"code\":\"stream_broken\"}}\n\n", false, outcomeCut},
		{"error event", true, 200, "", streamEvent("t0 ", "") + "data: {\"error\":{\"code\":\"stream_broken\"}}\n\n", false, outcomeFailed},
		{"unknown in the stream", true, 200, "", "event: error\ndata: {\"error\":{\"code\":\"outcome_unknown\",\"outcome\":\"unknown\"}}\n\n", false, outcomeUnknown},
		{"not run in the stream", true, 200, "", "data: {\"error\":{\"outcome\":\"not-run\"}}\n\n", false, outcomeRefused},
		{"not run after a token", true, 200, "", streamEvent("t0 ", "") + "data: {\"error\":{\"outcome\":\"not-run\"}}\n\n", false, outcomeCut},
		{"whole", false, 200, "", completeBody, false, outcomeComplete},
		{"whole with too few tokens", false, 200, "", strings.Replace(completeBody, " t1", "", 1), false, outcomeCut},
		{"not run", false, 503, "not-run", `{"error":{"code":"queue_full"}}`, false, outcomeRefused},
		{"unknown", false, 504, "unknown", `{"error":{"code":"outcome_unknown"}}`, false, outcomeUnknown},
		{"error of the target", false, 500, "", `{"error":{"code":"target_error"}}`, false, outcomeFailed},
	} {
		url := serve(t, func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(tc.status)
			if tc.header != "" {
				ctx.Response.Header.Set("Cassiaramp-Outcome", tc.header)
			}
			ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
				io.WriteString(w, tc.body)
				w.Flush()
				if tc.broken {
					ctx.Conn().Close()
				}
			})
		})
		sender := newSender(testCommand(url))
		sender.standinText = func(_ []byte, n int) string { return strings.Join([]string{"t0", "t1", "t2"}[:n], " ") }
		r := sender.sendOnce(&requestSpec{id: "x", customer: -1, streamed: tc.streamed, promptTokens: 4, outputTokens: 2}, url)
		if r.outcome != tc.want {
			t.Errorf("%s: outcome %s (%s), want %s", tc.name, r.outcome, r.detail, tc.want)
		}
	}
}

// stubEntry answers every request as an entry with stand-ins behind it would, and
// counts how often each request id ran. A repeated request with a key runs once.
type stubEntry struct {
	mu          sync.Mutex
	Runs        map[string]int                                             `json:"runs"`
	interceptor func(id string, keyed bool, ctx *fasthttp.RequestCtx) bool // returns true if it has answered
}

func (s *stubEntry) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if string(ctx.Path()) == "/admin/ledger" {
		users := map[string]standin.Counts{}
		for id, n := range s.Runs {
			users[id] = standin.Counts{Started: n}
		}
		json.NewEncoder(ctx).Encode(standin.Ledger{Targets: []standin.TargetLedger{{Users: users}}})
		return
	}
	id := string(ctx.Request.Header.Peek("X-Load-Id"))
	keyed := len(ctx.Request.Header.Peek("Idempotency-Key")) > 0
	if !keyed || s.Runs[id] == 0 {
		s.Runs[id]++
	}
	if s.interceptor != nil && s.interceptor(id, keyed, ctx) {
		return
	}
	var b requestBody
	if json.Unmarshal(ctx.PostBody(), &b) != nil || b.Model == "" {
		ctx.SetBodyString("ok " + id)
		return
	}
	if b.User != id {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	text := standin.ExpectedText(b.enginePrompt(), 2)
	if b.Stream {
		half := len(text) / 2
		ctx.SetBodyString(streamEvent(text[:half], "") + streamEvent(text[half:], "stop") + usageOfTwoTokens + "data: [DONE]\n\n")
		return
	}
	fmt.Fprintf(ctx, `{"choices":[{"text":%q,"finish_reason":"stop"}],"usage":{"completion_tokens":2}}`, text)
}

// enginePrompt returns the prompt as an engine sees it.
func (b *requestBody) enginePrompt() []byte {
	out := []byte(b.Prompt)
	for _, m := range b.Messages {
		out = append(out, m.Role+"\n"+m.Content+"\n"...)
	}
	return out
}

// Guards against a load that stand-in engines cannot serve, and against a ledger that
// is read wrongly: engines ignore idempotency keys, so without entries in between a
// request that is sent twice runs twice.
func TestRunAgainstStandin(t *testing.T) {
	anyPort := "127.0.0.1:0"
	p, err := standin.Start(&standin.Config{Seed: 1, Admin: anyPort, Engines: []standin.EngineConfig{{
		Name: "e", Address: anyPort, PrefillRate: 1e6, DecodeRate: 1e5, RequestRate: 2000, CacheTokens: 4096,
		Models: []state.ModelSpec{{Name: "m", Version: "1"}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c := testCommand(p.URL("e"))
	c.Service, c.Ledger = "", p.URL(standin.AdminName)
	if err := c.Run(t.Context(), io.Discard); err != nil {
		t.Errorf("one entry: %v", err)
	}
	c.Entry = []string{p.URL("e"), p.URL("e")}
	if err := c.Run(t.Context(), io.Discard); !errors.Is(err, ErrGuaranteeBroken) {
		t.Errorf("duplicates that run twice: error %v, want %v", err, ErrGuaranteeBroken)
	}
}

// Guards against a run that misses a broken guarantee, or that reports a violation
// where there is none.
func TestRunFindsViolations(t *testing.T) {
	refuse := func(ctx *fasthttp.RequestCtx) bool {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Cassiaramp-Outcome", "not-run")
		return true
	}
	for _, tc := range []struct {
		name  string
		fault func(s *stubEntry) func(id string, keyed bool, ctx *fasthttp.RequestCtx) bool
		want  string
	}{
		{"kept", nil, ""},
		{"ran after not-run", func(*stubEntry) func(string, bool, *fasthttp.RequestCtx) bool {
			return func(_ string, _ bool, ctx *fasthttp.RequestCtx) bool { return refuse(ctx) }
		}, violationFalseNotRun},
		{"keyed request ran twice", func(s *stubEntry) func(string, bool, *fasthttp.RequestCtx) bool {
			return func(id string, keyed bool, _ *fasthttp.RequestCtx) bool {
				if keyed {
					s.Runs[id]++
				}
				return false
			}
		}, violationDoubled},
		{"cut", func(*stubEntry) func(string, bool, *fasthttp.RequestCtx) bool {
			return func(_ string, _ bool, ctx *fasthttp.RequestCtx) bool {
				ctx.SetBodyString(streamEvent("t0 ", ""))
				return true
			}
		}, violationCut},
	} {
		s := &stubEntry{Runs: map[string]int{}}
		if tc.fault != nil {
			s.interceptor = tc.fault(s)
		}
		url := serve(t, s.handle)
		c := testCommand(url, url)
		c.Ledger, c.JSON = url, true
		var out strings.Builder
		err := c.Run(context.Background(), &out)
		var report Report
		if jsonErr := json.Unmarshal([]byte(out.String()), &report); jsonErr != nil {
			t.Fatalf("%s: %v in %s", tc.name, jsonErr, out.String())
		}
		if !report.LedgerChecked || report.Sent < 10 {
			t.Errorf("%s: sent %d, ledger checked %v", tc.name, report.Sent, report.LedgerChecked)
		}
		kinds := map[string]bool{}
		for _, v := range report.Violations {
			kinds[v.Kind] = true
		}
		if errors.Is(err, ErrGuaranteeBroken) != (tc.want != "") || (tc.want != "" && !kinds[tc.want]) || (tc.want == "" && len(kinds) > 0) {
			t.Errorf("%s: error %v, violations %v, want %q", tc.name, err, report.Violations, tc.want)
		}
	}
}

// Guards against a load that is not reproducible, whose rate differs from --rate, or
// that has no long prompts, shared prefixes, duplicates or plain calls.
func TestPlan(t *testing.T) {
	c := testCommand("a", "b")
	c.Rate = 100
	p, again := newPlan(c), newPlan(c)
	var long, prefixed, twice, plainCalls int
	const n = 20000
	var last *requestSpec
	for range n {
		last = p.next()
		if diff := cmp.Diff(last, again.next(), cmp.AllowUnexported(requestSpec{})); diff != "" {
			t.Fatalf("equal seeds give different plans (-first +second):\n%s", diff)
		}
		if last.promptTokens > 50*c.PromptTokens {
			long++
		}
		if last.prefixTokens > 0 {
			prefixed++
		}
		if last.duplicateDelay > 0 {
			twice++
		}
		if last.kind == plainRequest {
			plainCalls++
		}
	}
	if rate := n / last.arrival.Seconds(); rate < 90 || rate > 110 {
		t.Errorf("rate %.1f, want 100", rate)
	}
	if long < n/1000 || prefixed < n/4 || twice < n/100 || plainCalls < n/5 {
		t.Errorf("of %d: %d long, %d with a prefix, %d sent twice, %d plain", n, long, prefixed, twice, plainCalls)
	}
}

// Guards against argument tags that go-arg rejects.
func TestArguments(t *testing.T) {
	var c Command
	p, err := arg.NewParser(arg.Config{}, &c)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Parse([]string{"--entry", "http://a", "--entry", "http://b", "--model", "m"}); err != nil {
		t.Fatal(err)
	}
	if len(c.Entry) != 2 || c.validate() != nil {
		t.Errorf("arguments %+v, error %v", c, c.validate())
	}
}

// Guards against a request that is lost because one entry is down, and against a
// retry of a request without a key that may have run.
func TestRetriesOnlyWhenSafe(t *testing.T) {
	s := &stubEntry{Runs: map[string]int{}}
	workingEntry := serve(t, s.handle)
	breakingEntry := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.HijackSetNoResponse(true); ctx.Hijack(func(net.Conn) {}) })
	for _, tc := range []struct {
		name     string
		first    string
		keyed    bool
		want     outcome
		wantSent int
	}{
		{"entry down", "http://127.0.0.1:1", false, outcomeComplete, 2},
		{"connection broken, keyed", breakingEntry, true, outcomeComplete, 2},
		{"connection broken, not keyed", breakingEntry, false, outcomeBroken, 1},
	} {
		sender := newSender(testCommand(tc.first, workingEntry))
		e := sender.perform(&requestSpec{id: tc.name, kind: plainRequest, customer: -1, hasKey: tc.keyed})
		if got := e.decidingResult().outcome; got != tc.want || len(e.results) != tc.wantSent {
			t.Errorf("%s: outcome %s after sending %d times (%s), want %s after %d", tc.name, got, len(e.results), e.decidingResult().detail, tc.want, tc.wantSent)
		}
	}
}

// Guards against requests with the deadline of another tier, and against a content
// seed that changes the arrivals or leaves prompts equal between two runs.
func TestTierTimeoutsAndContentSeed(t *testing.T) {
	c := testCommand("http://127.0.0.1:1")
	c.Tier = []string{"high=2s", "low"}
	if err := c.validate(); err != nil {
		t.Fatal(err)
	}
	other := *c
	other.ContentSeed = 7
	want := map[string]time.Duration{"high": 2 * time.Second, "low": c.Timeout}
	a, b := newPlan(c), newPlan(&other)
	for range 200 {
		x, y := a.next(), b.next()
		if x.timeout != want[x.tier] {
			t.Fatalf("tier %s got timeout %s", x.tier, x.timeout)
		}
		if x.contentSeed == y.contentSeed || (x.prefixSeed != 0 && x.prefixSeed == y.prefixSeed) {
			t.Fatalf("request %d has equal texts under two content seeds", x.number)
		}
		y.contentSeed, y.prefixSeed = x.contentSeed, x.prefixSeed
		if d := cmp.Diff(*x, *y, cmp.AllowUnexported(requestSpec{})); d != "" {
			t.Fatalf("the content seed changed more than the texts: %s", d)
		}
	}
	for _, bad := range []string{"high=", "high=0s", "high=-1s", "high=soon"} {
		c.Tier = []string{bad}
		if c.validate() == nil {
			t.Errorf("--tier %s was accepted", bad)
		}
	}
}

// Guards against a goodput rate that counts late responses, those of the start, or
// those of the backlog after the last arrival.
func TestGoodputRateExcludesWarmupAndBacklog(t *testing.T) {
	y := newTally(10 * time.Second)
	for _, tc := range []struct{ at, took time.Duration }{
		{1 * time.Second, 500 * time.Millisecond}, // ends before a fifth of the duration has passed
		{3 * time.Second, time.Second},            // counts
		{4 * time.Second, 3 * time.Second},        // late
		{9500 * time.Millisecond, time.Second},    // ends after the last arrival
	} {
		y.add(&exchange{
			spec:    &requestSpec{arrival: tc.at, timeout: 2 * time.Second},
			results: []*sendResult{{outcome: outcomeComplete, elapsed: tc.took}},
		}, false)
	}
	if got := y.report(10 * time.Second).GoodputRate; got != 1.0/8 {
		t.Errorf("goodput rate %g/s, want one response in 8 s", got)
	}
}

// Guards against a report that does not print goodput and wasted prefill as counts
// and shares.
func TestReportPrintsGoodputAndShares(t *testing.T) {
	var out strings.Builder
	r := &Report{
		CallerCounts: []OutcomeCounts{{Tier: "plan", Policy: "cost", InTime: 3, Late: 1}, {Tier: "bulk", Policy: "cost"}},
		Waste:        map[string]PrefillWaste{"cost": {PromptTokens: 200, WastedTokens: 50}},
	}
	if err := r.print(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"goodput", "75.0%", "wasted prefill", "25.0%"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}
