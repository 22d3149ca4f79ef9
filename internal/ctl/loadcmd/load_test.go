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

// serve runs a stub on loopback and returns its URL.
func serve(t *testing.T, handle fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handle, Logger: silent{}}
	go server.Serve(ln)
	t.Cleanup(func() { server.Shutdown() })
	return "http://" + ln.Addr().String()
}

type silent struct{}

func (silent) Printf(string, ...any) {}

func command(entries ...string) *Command {
	return &Command{
		Entry: entries, Duration: 300 * time.Millisecond, Rate: 200, Seed: 3, Model: "m", Service: "s", CustomerKey: []string{"a", "b"},
		Tier: []string{"high", "low"}, Timeout: 5 * time.Second, PromptTokens: 20, OutputTokens: 3, MaxOpen: 100,
	}
}

func event(token, finish string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":%q}]}\n\n", token, finish)
}

const usage2 = "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\n"

// Guards against a check that passes a response that is cut, reordered or
// miscounted, and against one that reports an honest error as a violation.
func TestReplyOutcomes(t *testing.T) {
	good := event("t0 ", "") + event("t1 ", "") + event("", "stop") + usage2 + "data: [DONE]\n\n"
	whole2 := `{"choices":[{"message":{"content":"t0 t1"},"finish_reason":"stop"}],"usage":{"completion_tokens":2}}`
	for _, tc := range []struct {
		name     string
		streamed bool
		status   int
		header   string
		body     string
		broken   bool // the connection ends before the last chunk
		want     outcome
	}{
		{"stream", true, 200, "", good, false, whole},
		{"no [DONE]", true, 200, "", strings.Replace(good, "data: [DONE]", "", 1), false, cut},
		{"no finish_reason", true, 200, "", strings.Replace(good, "stop", "", 1), false, cut},
		{"token missing", true, 200, "", event("t0 ", "") + event("t2 ", "stop") + usage2 + "data: [DONE]\n\n", false, cut},
		{"token repeated", true, 200, "", event("t0 ", "") + event("t0 ", "stop") + usage2 + "data: [DONE]\n\n", false, cut},
		{"usage differs", true, 200, "", strings.Replace(good, "tokens\":2", "tokens\":3", 1), false, cut},
		{"data after [DONE]", true, 200, "", good + event("t2 ", ""), false, cut},
		{"connection broken", true, 200, "", event("t0 ", ""), true, broken},
		{"error event after a gap", true, 200, "", event("t1 ", "") + "data: {\"error\":{\"code\":\"stream_broken\"}}\n\n", false, cut},
		{"error event", true, 200, "", event("t0 ", "") + "data: {\"error\":{\"code\":\"stream_broken\"}}\n\n", false, failed},
		{"unknown in the stream", true, 200, "", "event: error\ndata: {\"error\":{\"code\":\"outcome_unknown\",\"outcome\":\"unknown\"}}\n\n", false, unknown},
		{"not run in the stream", true, 200, "", "data: {\"error\":{\"outcome\":\"not-run\"}}\n\n", false, refused},
		{"not run after a token", true, 200, "", event("t0 ", "") + "data: {\"error\":{\"outcome\":\"not-run\"}}\n\n", false, cut},
		{"whole", false, 200, "", whole2, false, whole},
		{"whole with too few tokens", false, 200, "", strings.Replace(whole2, " t1", "", 1), false, cut},
		{"not run", false, 503, "not-run", `{"error":{"code":"queue_full"}}`, false, refused},
		{"unknown", false, 504, "unknown", `{"error":{"code":"outcome_unknown"}}`, false, unknown},
		{"error of the target", false, 500, "", `{"error":{"code":"target_error"}}`, false, failed},
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
		sender := newSender(command(url))
		sender.generated = func(_ []byte, n int) string { return strings.Join([]string{"t0", "t1", "t2"}[:n], " ") }
		r := sender.send(&spec{id: "x", customer: -1, streamed: tc.streamed, promptLen: 4, outputLen: 2}, url)
		if r.outcome != tc.want {
			t.Errorf("%s: %s (%s), want %s", tc.name, r.outcome, r.detail, tc.want)
		}
	}
}

// stub answers every request and counts the runs of each id.
type stub struct {
	mu    sync.Mutex
	Runs  map[string]int                                             `json:"runs"`
	fault func(id string, keyed bool, ctx *fasthttp.RequestCtx) bool // true when it answered
}

func (s *stub) handle(ctx *fasthttp.RequestCtx) {
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
	if s.fault != nil && s.fault(id, keyed, ctx) {
		return
	}
	var b body
	if json.Unmarshal(ctx.PostBody(), &b) != nil || b.Model == "" {
		ctx.SetBodyString("ok " + id)
		return
	}
	if b.User != id {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	text := standin.ExpectedText(b.prompt(), 2)
	if b.Stream {
		half := len(text) / 2
		ctx.SetBodyString(event(text[:half], "") + event(text[half:], "stop") + usage2 + "data: [DONE]\n\n")
		return
	}
	fmt.Fprintf(ctx, `{"choices":[{"text":%q,"finish_reason":"stop"}],"usage":{"completion_tokens":2}}`, text)
}

// prompt returns the prompt as an engine sees it.
func (b *body) prompt() []byte {
	out := []byte(b.Prompt)
	for _, m := range b.Messages {
		out = append(out, m.Role+"\n"+m.Content+"\n"...)
	}
	return out
}

// Guards against a load that stand-in engines do not understand, and against a
// ledger that is read wrongly: an engine that knows no keys runs a repeated
// request twice.
func TestRunAgainstStandin(t *testing.T) {
	free := "127.0.0.1:0"
	p, err := standin.Start(&standin.Config{Seed: 1, Admin: free, Engines: []standin.EngineConfig{{
		Name: "e", Address: free, PrefillRate: 1e6, DecodeRate: 1e5, RequestRate: 2000, CacheTokens: 4096,
		Models: []state.ModelSpec{{Name: "m", Version: "1"}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c := command(p.URL("e"))
	c.Service, c.Ledger = "", p.URL(standin.AdminName)
	if err := c.Run(t.Context(), io.Discard); err != nil {
		t.Errorf("one entry: %v", err)
	}
	c.Entry = []string{p.URL("e"), p.URL("e")}
	if err := c.Run(t.Context(), io.Discard); !errors.Is(err, ErrGuaranteeBroken) {
		t.Errorf("repeats that run twice: error %v, want %v", err, ErrGuaranteeBroken)
	}
}

// Guards against a run that misses a broken guarantee or finds one that was
// kept.
func TestRunFindsViolations(t *testing.T) {
	refuse := func(ctx *fasthttp.RequestCtx) bool {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Cassiaramp-Outcome", "not-run")
		return true
	}
	for _, tc := range []struct {
		name  string
		fault func(s *stub) func(id string, keyed bool, ctx *fasthttp.RequestCtx) bool
		want  string
	}{
		{"kept", nil, ""},
		{"ran after not-run", func(*stub) func(string, bool, *fasthttp.RequestCtx) bool {
			return func(_ string, _ bool, ctx *fasthttp.RequestCtx) bool { return refuse(ctx) }
		}, falseNotRun},
		{"keyed request ran twice", func(s *stub) func(string, bool, *fasthttp.RequestCtx) bool {
			return func(id string, keyed bool, _ *fasthttp.RequestCtx) bool {
				if keyed {
					s.Runs[id]++
				}
				return false
			}
		}, doubled},
		{"cut", func(*stub) func(string, bool, *fasthttp.RequestCtx) bool {
			return func(_ string, _ bool, ctx *fasthttp.RequestCtx) bool {
				ctx.SetBodyString(event("t0 ", ""))
				return true
			}
		}, cutShort},
	} {
		s := &stub{Runs: map[string]int{}}
		if tc.fault != nil {
			s.fault = tc.fault(s)
		}
		url := serve(t, s.handle)
		c := command(url, url)
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

// Guards against a run that cannot be repeated, a rate that differs from the
// one asked for, and a load without long requests, prefixes or repeats.
func TestPlan(t *testing.T) {
	c := command("a", "b")
	c.Rate = 100
	p, again := newPlan(c), newPlan(c)
	var long, prefixed, twice, plainCalls int
	const n = 20000
	var last *spec
	for range n {
		last = p.next()
		if diff := cmp.Diff(last, again.next(), cmp.AllowUnexported(spec{})); diff != "" {
			t.Fatalf("equal seeds differ:\n%s", diff)
		}
		if last.promptLen > 50*c.PromptTokens {
			long++
		}
		if last.prefixLen > 0 {
			prefixed++
		}
		if last.second > 0 {
			twice++
		}
		if last.form == plain {
			plainCalls++
		}
	}
	if rate := n / last.at.Seconds(); rate < 90 || rate > 110 {
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
	if len(c.Entry) != 2 || c.check() != nil {
		t.Errorf("%+v: %v", c, c.check())
	}
}

// Guards against a request that is lost because one entry is down, and against
// a second sending of an unkeyed request that may have run.
func TestSendsAgainOnlyWhenSafe(t *testing.T) {
	s := &stub{Runs: map[string]int{}}
	sound := serve(t, s.handle)
	breaks := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.HijackSetNoResponse(true); ctx.Hijack(func(net.Conn) {}) })
	for _, tc := range []struct {
		name  string
		first string
		keyed bool
		want  outcome
		sent  int
	}{
		{"entry down", "http://127.0.0.1:1", false, whole, 2},
		{"connection broken, keyed", breaks, true, whole, 2},
		{"connection broken, not keyed", breaks, false, broken, 1},
	} {
		sender := newSender(command(tc.first, sound))
		e := sender.exchange(&spec{id: tc.name, form: plain, customer: -1, keyed: tc.keyed})
		if got := e.best().outcome; got != tc.want || len(e.replies) != tc.sent {
			t.Errorf("%s: %s after %d sendings (%s), want %s after %d", tc.name, got, len(e.replies), e.best().detail, tc.want, tc.sent)
		}
	}
}

// Guards against requests that get another tier's deadline, and against a
// content seed that changes arrivals or leaves two runs with equal prompts.
func TestTierTimeoutsAndContentSeed(t *testing.T) {
	c := command("http://127.0.0.1:1")
	c.Tier = []string{"high=2s", "low"}
	if err := c.check(); err != nil {
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
		if x.content == y.content || (x.prefix != 0 && x.prefix == y.prefix) {
			t.Fatalf("request %d has equal texts under two content seeds", x.number)
		}
		y.content, y.prefix = x.content, x.prefix
		if d := cmp.Diff(*x, *y, cmp.AllowUnexported(spec{})); d != "" {
			t.Fatalf("the content seed changed more than the texts: %s", d)
		}
	}
	for _, bad := range []string{"high=", "high=0s", "high=-1s", "high=soon"} {
		c.Tier = []string{bad}
		if c.check() == nil {
			t.Errorf("--tier %s was accepted", bad)
		}
	}
}

// Guards against a goodput rate that counts late responses, or those of the
// backlog that is served after the last arrival.
func TestGoodputRateIsThatOfTheSteadyState(t *testing.T) {
	y := newTally(10 * time.Second)
	for _, tc := range []struct{ at, took time.Duration }{
		{1 * time.Second, 500 * time.Millisecond}, // ends before the first fifth has passed
		{3 * time.Second, time.Second},            // counts
		{4 * time.Second, 3 * time.Second},        // late
		{9500 * time.Millisecond, time.Second},    // ends after the last arrival
	} {
		y.add(&exchange{
			spec:    &spec{at: tc.at, timeout: 2 * time.Second},
			replies: []*reply{{outcome: whole, took: tc.took}},
		}, false)
	}
	if got := y.report(10 * time.Second).GoodputRate; got != 1.0/8 {
		t.Errorf("goodput rate %g, want one response in 8 s", got)
	}
}

// Guards against a report whose goodput cannot be read as a count and a share.
func TestReportNamesGoodput(t *testing.T) {
	var out strings.Builder
	r := &Report{
		Rows:  []Row{{Tier: "plan", Policy: "cost", InTime: 3, Late: 1}, {Tier: "bulk", Policy: "cost"}},
		Waste: map[string]Waste{"cost": {PromptTokens: 200, Wasted: 50}},
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
