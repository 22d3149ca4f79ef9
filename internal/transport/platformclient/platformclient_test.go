package platformclient

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream/logtest"
	"github.com/cassiaramp/cassiaramp/internal/coordination/order"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

func newLogClient(t *testing.T, h http.Handler) *LogClient {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	l, err := NewLogClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against a mismatch with the wire format of the log service.
func TestLogRoundTrip(t *testing.T) {
	service := new(logtest.Log)
	l := newLogClient(t, service.Handler())
	for i, id := range []string{"a", "b", "c"} {
		off, err := l.Append(t.Context(), "bundles", logstream.Entry{ID: id, Data: []byte{0, 0xff, byte(i)}})
		if err != nil || off != uint64(i) {
			t.Fatalf("append: offset %d, error %v; want %d", off, err, i)
		}
	}
	service.Forget("bundles", 1)
	page, err := l.Read(t.Context(), "bundles", 0, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	want, err := service.Read(t.Context(), "bundles", 0, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, page); diff != "" {
		t.Errorf("page (-want +got):\n%s", diff)
	}
	got := make(chan logstream.Page, 1)
	go func() {
		page, err := l.Read(t.Context(), "bundles", 3, 10, time.Minute)
		if err != nil {
			t.Error(err)
		}
		got <- page
	}()
	l.Append(t.Context(), "bundles", logstream.Entry{ID: "d"})
	if page := <-got; len(page.Records) != 1 || page.Records[0].ID != "d" {
		t.Errorf("long poll returned %+v, want record d", page)
	}
}

// Guards against an append that the HTTP library sends twice, and against a wrong report
// of whether a failed append may have had an effect.
func TestAppendOutcome(t *testing.T) {
	service := new(logtest.Log)
	l := newLogClient(t, service.Handler())
	service.LoseAcks(1)
	_, err := l.Append(t.Context(), "s", logstream.Entry{ID: "a"})
	if err == nil || errors.Is(err, logstream.ErrNotAppended) || service.Appends() != 1 {
		t.Errorf("lost acknowledgement: error %v after %d appends, want an error other than ErrNotAppended after 1", err, service.Appends())
	}
	service.LoseAcks(1)
	if r := logstream.Append(t.Context(), l, "s", 1, logstream.Entry{ID: "b"}); r.Outcome != logstream.Appended || r.Offset != 1 || service.Appends() != 2 {
		t.Errorf("read back: %s at %d after %d appends, want appended at 1 after 2", r.Outcome, r.Offset, service.Appends())
	}
	for status, notAppended := range map[int]bool{400: true, 413: true, 429: true, 408: false, 500: false, 503: false} {
		l := newLogClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		if _, err := l.Append(t.Context(), "s", logstream.Entry{ID: "a"}); err == nil || errors.Is(err, logstream.ErrNotAppended) != notAppended {
			t.Errorf("status %d: error %v, want ErrNotAppended: %t", status, err, notAppended)
		}
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	refused, err := NewLogClient("http://" + closed.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := refused.Append(t.Context(), "s", logstream.Entry{ID: "a"}); !errors.Is(err, logstream.ErrNotAppended) {
		t.Errorf("refused connection: error %v, want %v", err, logstream.ErrNotAppended)
	}
}

// Guards against a call that waits for ever on a connection that does not respond, and
// against reusing pooled connections after such a call.
func TestUnresponsiveConnection(t *testing.T) {
	var unresponsive atomic.Bool
	var conns atomic.Int32
	release := make(chan struct{})
	service := new(logtest.Log)
	handler := service.Handler()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if unresponsive.Load() {
			<-release
		}
		handler.ServeHTTP(w, r)
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	defer close(release)
	l, err := NewLogClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	read := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := l.Read(ctx, "s", 0, 1, 0)
		return err
	}
	// Two concurrent long polls leave two idle connections in the pool.
	var polls sync.WaitGroup
	for range 2 {
		polls.Go(func() {
			if _, err := l.Read(t.Context(), "s", 0, 1, 200*time.Millisecond); err != nil {
				t.Error(err)
			}
		})
	}
	polls.Wait()
	if err := read(CallTimeout); err != nil || conns.Load() != 2 {
		t.Fatalf("%d connections, error %v; want 2, one of them reused", conns.Load(), err)
	}
	unresponsive.Store(true)
	if err := read(50 * time.Millisecond); err == nil {
		t.Fatal("call on an unresponsive connection succeeded")
	}
	unresponsive.Store(false)
	if err := read(CallTimeout); err != nil {
		t.Fatalf("call after the server responds again: %v", err)
	}
	if n := conns.Load(); n != 3 {
		t.Errorf("%d connections, want 3: a new one after the timeout", n)
	}
}

// Guards against accepting a page that is not consistent.
func TestDecodePage(t *testing.T) {
	for name, body := range map[string]string{
		"no JSON":          `x`,
		"field missing":    `{"first":0,"next":1,"records":[]}`,
		"out of order":     `{"first":0,"next":3,"end":3,"records":[{"offset":2},{"offset":1}]}`,
		"before from":      `{"first":0,"next":3,"end":3,"records":[{"offset":0}]}`,
		"beyond next":      `{"first":0,"next":2,"end":3,"records":[{"offset":2}]}`,
		"next beyond end":  `{"first":0,"next":4,"end":3,"records":[{"offset":3}]}`,
		"record forgotten": `{"first":2,"next":3,"end":3,"records":[{"offset":1}]}`,
	} {
		if page, err := decodePage([]byte(body), 1); err == nil {
			t.Errorf("%s: accepted as %+v", name, page)
		}
	}
	page, err := decodePage([]byte(`{"first":5,"next":1,"end":5,"records":[]}`), 1)
	if err != nil || page.Next != 5 {
		t.Errorf("no record retained: next %d, error %v; want 5, the end", page.Next, err)
	}
}

// Guards against decoding the instance list wrongly, and against reading it again although
// its ETag is unchanged.
func TestInstances(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("If-None-Match") == `"7"` {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", `"7"`)
		io.WriteString(w, `{"instances":[{"instance":"side-1","role":"side","failure_domain":"tema-a","address":"127.0.0.1:7000","target":"t1","service":"plan-llm","leaving":true}]}`)
	}))
	defer server.Close()
	client, err := NewInstanceListClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	members, etag, unchanged, err := client.Instances(t.Context(), "")
	want := []state.Member{{Instance: "side-1", Role: state.SideRole, Domain: "tema-a", Address: "127.0.0.1:7000", Target: "t1", Service: "plan-llm", Leaving: true}}
	if diff := cmp.Diff(want, members); diff != "" || etag != `"7"` || unchanged || err != nil {
		t.Errorf("first read: etag %s, unchanged %t, error %v (-want +got):\n%s", etag, unchanged, err, diff)
	}
	members, etag, unchanged, err = client.Instances(t.Context(), etag)
	if members != nil || etag != `"7"` || !unchanged || err != nil {
		t.Errorf("second read: %v, etag %s, unchanged %t, error %v", members, etag, unchanged, err)
	}
}

// Guards against an order that is sent in the wrong form or twice, and against responses
// that are turned into the wrong error.
func TestOrders(t *testing.T) {
	status := http.StatusOK
	var body map[string]any
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		body = nil
		json.NewDecoder(r.Body).Decode(&body)
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(status)
	}))
	defer server.Close()
	o, err := NewOrderClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	send := func(code int) error {
		status = code
		return o.SendOrder(t.Context(), order.Order{FencingToken: 9, Load: []state.ModelSpec{{Name: "m", Version: "2"}}, Unload: []state.ModelSpec{{Name: "m", Version: "1"}}, Role: "mixed"})
	}
	if err := send(http.StatusOK); err != nil {
		t.Errorf("accepted order: %v", err)
	}
	want := map[string]any{"fence": 9.0, "load": []any{map[string]any{"name": "m", "version": "2"}}, "unload": []any{map[string]any{"name": "m", "version": "1"}}, "adapters": []any{}, "role": "mixed"}
	if diff := cmp.Diff(want, body); diff != "" {
		t.Errorf("body (-want +got):\n%s", diff)
	}
	if err := send(http.StatusConflict); !errors.Is(err, order.ErrStaleFencingToken) {
		t.Errorf("409: %v", err)
	}
	var limited *order.RateLimitedError
	if err := send(http.StatusTooManyRequests); !errors.As(err, &limited) || limited.After != 7*time.Second {
		t.Errorf("429: %v", err)
	}
	if err := send(http.StatusBadRequest); err == nil || errors.Is(err, order.ErrUnreachable) {
		t.Errorf("400: %v", err)
	}
	if calls != 4 {
		t.Errorf("%d calls, want 4", calls)
	}
	server.Close()
	if err := send(http.StatusOK); !errors.Is(err, order.ErrUnreachable) {
		t.Errorf("closed server: %v", err)
	}
}
