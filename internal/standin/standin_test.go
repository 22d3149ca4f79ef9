package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

func testConfig() *Config {
	freePort := "127.0.0.1:0"
	loaded := []state.ModelSpec{{Name: "m", Version: "1"}}
	return &Config{
		Seed: 1, Admin: freePort,
		Log:       &LogConfig{Address: freePort},
		Instances: &InstancesConfig{Address: freePort},
		Weights:   &WeightsConfig{Address: freePort, FetchesPerMinute: 0.001, Burst: 1},
		Engines: []EngineConfig{
			{Name: "engine-1", Address: freePort, PrefillRate: 1e6, DecodeRate: 1e5, RequestRate: 2000, CacheTokens: 4096, Models: loaded, ChecksFence: true},
			{Name: "engine-2", Address: freePort, PrefillRate: 1e6, DecodeRate: 1e5, RequestRate: 1e-3, CacheTokens: 4096, Models: loaded},
		},
		Services: []ServiceConfig{{Name: "quay-1", Service: "quay-app", Address: freePort}},
	}
}

func start(t *testing.T) *Platform {
	t.Helper()
	p, err := Start(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// call sends a request on a new connection and returns the response and its body.
func call(t *testing.T, method, url, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// mustCall is call for a request that must get a response with the given status.
func mustCall(t *testing.T, status int, method, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	resp, got, err := call(t, method, url, body, headers...)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != status {
		t.Fatalf("%s %s: status %d, want %d: %s", method, url, resp.StatusCode, status, got)
	}
	return resp, got
}

// streamText checks that body is a stream whose events are numbered consecutively
// beginning with from and that only the last one is [DONE]. It returns the
// concatenated text and the usage.
func streamText(t *testing.T, body string, from int) (string, *usage) {
	t.Helper()
	var text strings.Builder
	var last completion
	events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	for i, ev := range events {
		data, ok := strings.CutPrefix(ev, fmt.Sprintf("id: %d\ndata: ", from+i))
		if !ok || (data == "[DONE]") != (i == len(events)-1) {
			t.Fatalf("event %d of %d is %q", from+i, len(events), ev)
		}
		if data == "[DONE]" {
			break
		}
		last = completion{}
		if err := json.Unmarshal([]byte(data), &last); err != nil {
			t.Fatal(err)
		}
		for _, c := range last.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return text.String(), last.Usage
}

const chatBody = `{"model":"m","messages":[{"role":"user","content":"%s"}],"max_tokens":%d,"stream":true,"stream_options":{"include_usage":true},"user":"%s"}`

func chatPrompt(content string) []byte {
	return state.ChatPrompt([]state.Message{{Role: "user", Content: content}})
}

// Guards against a run that ends when its connection breaks, and against a resumed
// stream that repeats or omits an event.
func TestStreamSurvivesBrokenConnection(t *testing.T) {
	p := start(t)
	conn, err := net.Dial("tcp", p.Addr("engine-1"))
	if err != nil {
		t.Fatal(err)
	}
	body := fmt.Sprintf(chatBody, "berth 4", 200, "u1")
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	lines := bufio.NewReader(conn)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(line, "id: 3") {
			break
		}
	}
	conn.Close()
	_, rest := mustCall(t, 200, "GET", p.URL("engine-1")+"/v1/requests/r1/events?from=4", "")
	text, u := streamText(t, rest, 4)
	want := strings.TrimPrefix(ExpectedText(chatPrompt("berth 4"), 200), ExpectedText(chatPrompt("berth 4"), 4))
	if text != want {
		t.Errorf("text of the resumed stream differs (-want +got):\n%s", cmp.Diff(want, text))
	}
	if u == nil || u.CompletionTokens != 200 || u.PromptTokens != len(chatPrompt("berth 4"))/4+1 {
		t.Errorf("usage of the resumed stream is %+v, want 200 completion tokens and the tokens of the prompt", u)
	}
	l := p.Ledger()
	if l.Targets[0].Runs["r1"] != 1 || l.Users()["u1"].Finished != 1 {
		t.Errorf("ledger of engine-1 is %+v, want one finished run", l.Targets[0])
	}
	mustCall(t, 404, "GET", p.URL("engine-1")+"/v1/requests/other/events", "")
	if _, list := mustCall(t, 200, "GET", p.URL("engine-1")+"/v1/requests", ""); list != `{"requests":[{"id":"r1","state":"done","events":203}]}` {
		t.Errorf("GET /v1/requests returned %s", list)
	}
}

// Guards against a response without streaming that differs from a streamed one,
// and against a usage without the prompt tokens found in the cache.
func TestResponseWithoutStreaming(t *testing.T) {
	p := start(t)
	prompt := strings.Repeat("draft ", 100)
	for _, cached := range []int{0, len(prompt) / state.PromptBlockBytes * blockTokens} {
		_, body := mustCall(t, 200, "POST", p.URL("engine-1")+"/v1/completions", fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":7}`, prompt))
		var c completion
		if err := json.Unmarshal([]byte(body), &c); err != nil {
			t.Fatal(err)
		}
		if got := *c.Choices[0].Text; got != ExpectedText([]byte(prompt), 7) || *c.Choices[0].FinishReason != "length" {
			t.Errorf("wrong text or finish reason in the response %s", body)
		}
		if c.Usage.Details.CachedTokens != cached || c.Usage.CompletionTokens != 7 {
			t.Errorf("usage is %+v, want 7 completion tokens and %d cached tokens", c.Usage, cached)
		}
	}
}

// Guards against a restart after which an engine still has its requests or its
// cache, or without a gap in the sequence numbers of cache events.
func TestRestartLosesState(t *testing.T) {
	p := start(t)
	url := p.URL("engine-1")
	body := fmt.Sprintf(chatBody, strings.Repeat("x", 1000), 1, "u4")
	mustCall(t, 200, "POST", url+"/v1/chat/completions", body, RequestIDHeader, "r4")
	before, _ := p.engines["engine-1"].cache.visibleEvents(0, time.Now())
	if err := p.SetFault(Fault{Name: "engine-1", Restart: true}); err != nil {
		t.Fatal(err)
	}
	mustCall(t, 404, "GET", url+"/v1/requests/r4/events", "")
	_, stream := mustCall(t, 200, "POST", url+"/v1/chat/completions", body)
	if _, u := streamText(t, stream, 0); u.Details.CachedTokens != 0 {
		t.Errorf("usage after the restart is %+v, want no cached tokens", u)
	}
	after, _ := p.engines["engine-1"].cache.visibleEvents(0, time.Now())
	if len(before) != 1 || len(after) != 1 || after[0].Seq != before[0].Seq+2 {
		t.Errorf("cache events are %+v before the restart and %+v after it, want one each with a gap of one sequence number", before, after)
	}
}

// Guards against a call that takes effect although it got an injected error.
func TestErrorRate(t *testing.T) {
	p := start(t)
	always := 1.0
	for _, name := range []string{"engine-1", LogName} {
		if err := p.SetFault(Fault{Name: name, ErrorRate: &always}); err != nil {
			t.Fatal(err)
		}
	}
	mustCall(t, 503, "POST", p.URL("engine-1")+"/v1/chat/completions", fmt.Sprintf(chatBody, "x", 1, "u5"))
	mustCall(t, 503, "POST", p.URL(LogName)+"/streams/s/records", `{"records":[{"id":"a"}]}`)
	never := 0.0
	if err := p.SetFault(Fault{Name: LogName, ErrorRate: &never}); err != nil {
		t.Fatal(err)
	}
	if _, page := mustCall(t, 200, "GET", p.URL(LogName)+"/streams/s/records", ""); !strings.Contains(page, `"end":0`) || p.Ledger().Users()["u5"].Started != 0 {
		t.Errorf("a call with an injected error took effect; log page: %s", page)
	}
}

// Guards against invalid settings that are accepted, and against a report of only
// the first error.
func TestLoadConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "standin.jsonc")
	for content, want := range map[string][]string{
		`{"admin": "127.0.0.1:1", /* comment */ "engines": [{"name": "log", "address": "10.0.0.1:1"}], "log": {"address": "127.0.0.1:0"},}`: {"used twice", "loopback", "prefill_rate"},
		`{"admin": "127.0.0.1:1", "lag": "1s"}`:          {`unknown field "lag"`},
		`{"log": {"address": "x", "retention": 5}}`:      {"want text with a unit"},
		`{"services": [{"name": "", "address": "::1"}]}`: {"empty", "loopback"},
	} {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadConfig(path)
		for _, text := range want {
			if err == nil || !strings.Contains(err.Error(), text) {
				t.Errorf("%s: error is %v, want one that contains %q", content, err, text)
			}
		}
	}
}

// Guards against a cancelled run that counts as finished or that can still be
// found by its id, and against a ledger without the prefill wasted on it.
func TestCancelCountsWastedPrefill(t *testing.T) {
	p := start(t)
	url := p.URL("engine-2")
	done := make(chan string, 1)
	content := strings.Repeat("x", 1000)
	go func() {
		_, body, _ := call(t, "POST", url+"/v1/chat/completions", fmt.Sprintf(chatBody, content, 5, "u2"), RequestIDHeader, "r2")
		done <- body
	}()
	for p.Ledger().Users()["u2"].Started == 0 || !strings.Contains(getLoad(t, url), `"running":1`) {
		time.Sleep(stepInterval)
	}
	mustCall(t, 200, "DELETE", url+"/v1/requests/r2", "")
	if body := <-done; strings.Contains(body, "[DONE]") || !strings.Contains(body, "cancelled") {
		t.Errorf("stream of the cancelled request has [DONE] or no error event: %s", body)
	}
	mustCall(t, 404, "DELETE", url+"/v1/requests/r2", "")
	tokens := len(chatPrompt(content))/4 + 1
	want := Counts{Started: 1, Cancelled: 1, ComputedTokens: tokens, ThrownAwayTokens: tokens}
	if diff := cmp.Diff(want, p.Ledger().Users()["u2"]); diff != "" {
		t.Error(diff)
	}
}

// getLoad returns the load report of the engine at url.
func getLoad(t *testing.T, url string) string {
	t.Helper()
	_, body := mustCall(t, 200, "GET", url+"/load", "")
	return body
}

// Guards against a cache that exceeds its capacity or evicts a block other than
// the least recently used one, and against a lost event that leaves no gap in the
// sequence numbers.
func TestPrefixCache(t *testing.T) {
	lost := false
	c := newPrefixCache(4*blockTokens, func() bool { return lost })
	now := time.Unix(0, 0)
	c.store([]uint64{1, 2}, now)
	c.store([]uint64{1, 3, 4}, now.Add(time.Second))
	if got := c.matchPrefix([]uint64{1, 2, 9}); got != 2 {
		t.Errorf("matched %d blocks, want 2", got)
	}
	lost = true
	c.store([]uint64{5}, now.Add(2*time.Second)) // evicts 4, the least recently used
	lost = false
	c.store([]uint64{6}, now.Add(3*time.Second)) // evicts 3
	if c.matchPrefix([]uint64{3}) != 0 || c.matchPrefix([]uint64{1, 2}) != 2 {
		t.Error("block 3 is still cached, or block 1 or 2 was evicted")
	}
	events, next := c.visibleEvents(1, now.Add(2*time.Second))
	if next != 2 || len(events) != 1 || events[0].Seq != 1 {
		t.Errorf("events 1 to 2 s are %+v and next is %d, want event 1 only and next 2", events, next)
	}
	events, next = c.visibleEvents(next, now.Add(3*time.Second))
	want := []CacheEvent{{Seq: 4, Type: "stored", Blocks: []string{"6"}}, {Seq: 5, Type: "evicted", Blocks: []string{"3"}}}
	if diff := cmp.Diff(want, events, cmp.FilterPath(func(p cmp.Path) bool { return p.String() == "at" }, cmp.Ignore())); diff != "" || next != 6 {
		t.Errorf("next is %d, want 6; events differ (-want +got):\n%s", next, diff)
	}
}

// Guards against an engine whose speed does not follow its configured rates, the
// fault "slow" or the prefix cache.
func TestEngineSpeed(t *testing.T) {
	srv := &server{faults: newFaults(1, "e")}
	e := newEngine(EngineConfig{Name: "e", PrefillRate: 1000, DecodeRate: 100, RequestRate: 60, CacheTokens: 1 << 20}, srv, "")
	prompt := make([]byte, 1024*state.BytesPerToken)
	admit := func(id string) *generation {
		g := newGeneration(id, prompt)
		g.maxTokens = 1000
		e.admit(g)
		return g
	}
	a := admit("a")
	now := time.Now()
	e.lastStep = now
	runSteps := func(n int) {
		for range n {
			now = now.Add(10 * time.Millisecond)
			e.step(now)
		}
	}
	runSteps(100)
	if a.prefilled || int(a.prefilledTokens+0.5) != 1000 {
		t.Fatalf("run after 1 s is %+v, want 1000 tokens prefilled", a)
	}
	runSteps(103)
	if !a.prefilled || a.generatedTokens < 59 || a.generatedTokens > 61 {
		t.Fatalf("generated %g tokens after 1 s of decoding, want 60", a.generatedTokens)
	}
	b := admit("b")
	runSteps(1)
	if !b.prefilled || b.cachedTokens != 1024 || b.prefilledTokens != 0 {
		t.Fatalf("a second run of the same prompt did not use the cache: %+v", b)
	}
	before := a.generatedTokens
	slow := 5.0
	srv.faults.apply(&Fault{Slow: &slow})
	runSteps(100)
	if got := a.generatedTokens - before; got < 9.9 || got > 10.1 || b.generatedTokens < 9.9 {
		t.Errorf("engine slowed by 5: one of two requests got %g tokens in 1 s, want 10 for each", got)
	}
}

// Guards against records that are kept past retention, against offsets that are
// reused, and against a read that does not show that records were dropped.
func TestLogRetention(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLogService(&LogConfig{Retention: state.Duration(time.Minute)}, &server{})
	l.now = func() time.Time { return now }
	var body appendRequest
	if err := json.Unmarshal([]byte(`{"records":[{"id":"a","data":"YQ=="},{"id":"b","data":""}]}`), &body); err != nil {
		t.Fatal(err)
	}
	l.append("s", body)
	now = now.Add(2 * time.Minute)
	if diff := cmp.Diff([]uint64{2, 3}, l.append("s", body)); diff != "" {
		t.Error(diff)
	}
	page, _ := l.readPage("s", 1, 1)
	if page.First != 2 || page.Next != 3 || page.End != 4 || len(page.Records) != 1 || page.Records[0].Offset != 2 || string(page.Records[0].Data) != "a" {
		t.Errorf("page is %+v, want only the record at offset 2, first 2, next 3 and end 4", page)
	}
}

// Guards against appends above the rate limit, and against a rejected append that
// takes effect or that has no Retry-After header.
func TestLogAppendRate(t *testing.T) {
	p, err := Start(&Config{Log: &LogConfig{Address: "127.0.0.1:0", AppendsPerSecond: 0.001}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	url := p.URL(LogName) + "/streams/s/records"
	mustCall(t, 200, "POST", url, `{"records":[{"id":"a"}]}`)
	resp, _ := mustCall(t, 429, "POST", url, `{"records":[{"id":"b"}]}`)
	if resp.Header.Get("Retry-After") == "" {
		t.Error("429 without Retry-After")
	}
	if _, page := mustCall(t, 200, "GET", url, ""); !strings.Contains(page, `"end":1`) {
		t.Errorf("page is %s, want the first record only", page)
	}
}

// Guards against a long poll that returns without the record that was appended
// while it waited.
func TestLogLongPoll(t *testing.T) {
	p := start(t)
	url := p.URL(LogName) + "/streams/bundles/records"
	got := make(chan string, 1)
	go func() {
		_, body, _ := call(t, "GET", url+"?from=0&wait=15s", "")
		got <- body
	}()
	_, reply := mustCall(t, 200, "POST", url, `{"records":[{"id":"a","data":"YQ=="}]}`)
	if reply != `{"offsets":[0]}` {
		t.Errorf("append returned %s, want offset 0", reply)
	}
	if body := <-got; !strings.Contains(body, `"first":0,"next":1,"end":1,"records":[{"offset":0,"id":"a"`) {
		t.Errorf("long poll returned %s, want the appended record", body)
	}
	mustCall(t, 400, "POST", url, `{"records":[]}`)
}

// Guards against a call without effect when the fault "lose_ack" loses its
// response.
func TestLostAcknowledgement(t *testing.T) {
	p := start(t)
	mustCall(t, 200, "POST", p.URL(AdminName)+"/admin/faults", `{"name":"log","lose_ack":1}`)
	mustCall(t, 200, "POST", p.URL(AdminName)+"/admin/faults", `{"name":"quay-1","lose_ack":1}`)
	mustCall(t, 200, "POST", p.URL(AdminName)+"/admin/faults", `{"name":"engine-1","lose_ack":1}`)
	url := p.URL(LogName) + "/streams/s/records"
	if _, body, err := call(t, "POST", url, `{"records":[{"id":"a"}]}`); err == nil {
		t.Errorf("append got a response: %s", body)
	}
	if _, body := mustCall(t, 200, "GET", url, ""); !strings.Contains(body, `"end":1`) {
		t.Errorf("the record whose append got no response is missing: %s", body)
	}
	if _, body, err := call(t, "POST", p.URL("quay-1")+"/ping", "", LoadIDHeader, "l1"); err == nil {
		t.Errorf("call to the plain service got a response: %s", body)
	}
	if _, body, err := call(t, "POST", p.URL("engine-1")+"/v1/chat/completions", fmt.Sprintf(chatBody, "x", 3, "u3"), RequestIDHeader, "r3"); err == nil {
		t.Errorf("completion got a response: %s", body)
	}
	if l := p.Ledger(); l.Users()["l1"].Finished != 1 || l.Targets[0].Runs["r3"] != 1 {
		t.Errorf("a call whose response was lost did not run once; ledger: %+v", l)
	}
	mustCall(t, 400, "POST", p.URL(AdminName)+"/admin/faults", `{"name":"nobody","lose_ack":1}`)
}

// Guards against a fault "silent" that closes connections or affects new ones, and
// against a stand-in that does not accept connections after a fault "down" ends.
func TestSilentAndDown(t *testing.T) {
	p := start(t)
	addr := p.Addr("quay-1")
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	sendRequest := func() {
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	sendRequest()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	if err := p.SetFault(Fault{Name: "quay-1", Silent: true}); err != nil {
		t.Fatal(err)
	}
	sendRequest()
	mustCall(t, 200, "GET", p.URL("quay-1")+"/new", "")
	conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := r.ReadByte(); err == nil || err == io.EOF {
		t.Errorf("read from the silent connection returned error %v, want a timeout", err)
	}
	down, up := true, false
	if err := p.SetFault(Fault{Name: "quay-1", Down: &down}); err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("a stand-in that is down accepts connections")
	}
	if err := p.SetFault(Fault{Name: "quay-1", Down: &up}); err != nil {
		t.Fatal(err)
	}
	mustCall(t, 200, "GET", p.URL("quay-1")+"/again", "")
}

// Guards against a change that is visible before the lag has passed, and against
// an unchanged list that is sent again in spite of If-None-Match.
func TestInstanceListLag(t *testing.T) {
	p := start(t)
	now := time.Unix(1000, 0)
	p.instances.now = func() time.Time { return now }
	lag := state.Duration(time.Second)
	if err := p.SetFault(Fault{Name: InstancesName, Lag: &lag}); err != nil {
		t.Fatal(err)
	}
	url := p.URL(InstancesName)
	mustCall(t, 200, "PUT", p.URL(AdminName)+"/admin/instances/side-1", `{"role":"side","failure_domain":"tema-a","leaving":true}`)
	resp, body := mustCall(t, 200, "GET", url+"/instances", "")
	if body != `{"instances":[]}` {
		t.Errorf("list before the lag has passed is %s", body)
	}
	now = now.Add(2 * time.Second)
	resp, body = mustCall(t, 200, "GET", url+"/instances", "", "If-None-Match", resp.Header.Get("ETag"))
	if body != `{"instances":[{"instance":"side-1","role":"side","failure_domain":"tema-a","leaving":true}]}` {
		t.Errorf("list after the lag has passed is %s", body)
	}
	mustCall(t, 304, "GET", url+"/instances", "", "If-None-Match", resp.Header.Get("ETag"))
	mustCall(t, 400, "PUT", url+"/admin/instances/a", `{"instance":"b"}`)
}

// Guards against an engine that executes an order with an outdated fencing token
// although it checks them, and against one that does not pass on the 429 of the
// weight store.
func TestOrders(t *testing.T) {
	p := start(t)
	url := p.URL("engine-1") + "/orders"
	_, body := mustCall(t, 200, "POST", url, `{"fence":7,"load":[{"name":"n","version":"2"}],"unload":[{"name":"m","version":"1"}],"role":"decode"}`)
	if body != `{"fence":7,"models":[{"name":"n","version":"2"}],"adapters":null,"role":"decode"}` {
		t.Errorf("order returned %s", body)
	}
	mustCall(t, 409, "POST", url, `{"fence":6,"role":"mixed"}`)
	resp, _ := mustCall(t, 429, "POST", url, `{"fence":7,"load":[{"name":"o","version":"1"}]}`)
	if resp.Header.Get("Retry-After") == "" {
		t.Error("429 without Retry-After")
	}
	mustCall(t, 404, "POST", p.URL("engine-1")+"/v1/chat/completions", fmt.Sprintf(chatBody, "x", 1, "u"))
	uncheckedURL := p.URL("engine-2") + "/orders" // without ChecksFence
	mustCall(t, 200, "POST", uncheckedURL, `{"fence":7}`)
	mustCall(t, 200, "POST", uncheckedURL, `{"fence":6,"role":"decode"}`)
}

// Guards against generated text that differs between versions: a load generator of
// another version would then report every response as wrong.
func TestTokenIsStable(t *testing.T) {
	prompt := []byte("berth 4")
	want := ""
	for i := range 4 {
		want += Token(prompt, i)
	}
	if got := ExpectedText(prompt, 4); got != want || got != "sumiri lebari zojire huzasu " {
		t.Errorf("generated text is %q, want the tokens of Token and the fixed text", got)
	}
}
