package faultsoak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

// Guards against target processes that do not end in the form that a run of the soak says.
func TestEndingsOfProcesses(t *testing.T) {
	const last, step = 50, 40 * time.Millisecond
	unframed, linger := *unframedFlag, *lingerFlag
	t.Cleanup(func() { *unframedFlag, *lingerFlag = unframed, linger })
	*unframedFlag, *lingerFlag = 0, 2*time.Second
	for _, c := range []struct {
		form     string
		proper   bool // the stream ends as a complete one
		outcome  string
		min, max time.Duration // from the signal to the end of the stream
		// Status of a request after the signal, 0 if it is not accepted, and what the ledger has of it.
		status int
		ledger string
	}{
		{form: endKill, outcome: emulator.RunBrokenOff, max: last * step / 2},
		{form: emulator.EndExit, outcome: emulator.RunBrokenOff, max: last * step / 2},
		{form: emulator.EndCancel, proper: true, outcome: emulator.RunBrokenOff, max: last * step / 2},
		{form: emulator.EndFinishCancel, proper: true, outcome: emulator.RunBrokenOff, min: last * step / 4, max: 10 * time.Second},
		{form: emulator.EndFinish, proper: true, outcome: emulator.RunCompleted, min: last * step / 4, max: 10 * time.Second},
		{form: emulator.EndCancelLinger, proper: true, outcome: emulator.RunBrokenOff, max: last * step / 2, status: http.StatusServiceUnavailable, ledger: emulator.Rejected + ": ending"},
		{form: emulator.EndCancelLingerEmpty, proper: true, outcome: emulator.RunBrokenOff, max: last * step / 2, status: http.StatusOK, ledger: emulator.RunBrokenOff},
	} {
		t.Run(c.form, func(t *testing.T) {
			d := &deploymentRun{world: &world{t: t, ledger: emulator.NewLedger()}}
			e := &engine{Target: &emulator.Target{ID: "x", Slots: 1, EventsPerStream: 1, Software: "v1", Profile: &emulator.Profile{Speed: 1, Step: step, IdleTimeout: time.Second}}}
			d.startProcess(e, "127.0.0.1:0")
			if e.process == nil {
				t.FailNow()
			}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.proxyAddress+"/", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Request-Id", "a")
			req.Header.Set("Expect-Instance", "x")
			req.Header.Set(emulator.HeaderEvents, fmt.Sprint(last))
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			begin := time.Now()
			e.end(c.form)
			time.Sleep(5 * step)
			checkAnswer(t, e, http.MethodPost, "/", c.status)
			checkAnswer(t, e, http.MethodGet, emulator.HealthPath, c.status)
			b, err := io.ReadAll(resp.Body)
			took, events := time.Since(begin), strings.Count(string(b), "\n\n")
			if (err == nil) != c.proper || (events == last) != (c.outcome == emulator.RunCompleted) || took < c.min || took > c.max {
				t.Errorf("%d events in %s, error %v; want proper %t, %s to %s, %s", events, took, err, c.proper, c.min, c.max, c.outcome)
			}
			<-e.process.exited
			if runs := d.world.ledger.Details("a"); len(runs) != 1 || runs[0].Outcome != c.outcome || runs[0].Events != events && runs[0].Events != events+1 {
				t.Errorf("runs %+v, want one %s with %d events or, not yet sent, one more", runs, c.outcome, events)
			}
			if runs := d.world.ledger.Details("b"); c.ledger != "" && (len(runs) != 1 || runs[0].Outcome != c.ledger) {
				t.Errorf("runs of the request after the signal %+v, want one %s", runs, c.ledger)
			}
		})
	}
}

// checkAnswer checks the answer of a target that is ending to a request on a new connection, which
// is to have a status, 0 for none, and no body.
func checkAnswer(t *testing.T, e *engine, method, path string, status int) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+e.proxyAddress+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Request-Id", "b")
	req.Header.Set("Expect-Instance", e.ID)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		if status != 0 {
			t.Errorf("%s %s after the signal: %v", method, path, err)
		}
		return
	}
	resp.Body.Close()
	health, refused := path == emulator.HealthPath, status == http.StatusServiceUnavailable
	if h := resp.Header; resp.StatusCode != status || resp.ContentLength != 0 || (h.Get("Instance-Id") == e.ID) != refused ||
		(h.Get("Not-Executed") != "") != (refused && !health) || (h.Get("Response-Signature") != "") != (!refused && !health) {
		t.Errorf("%s %s after the signal: %s with %v, want status %d", method, path, resp.Status, h, status)
	}
}

// Guards against targets that answer a resumption behind the last event in another form than
// -faultsoak.beyond says, or that change their answer to an earlier one.
func TestAnswersBehindTheLastEvent(t *testing.T) {
	const last = 3
	d := &deploymentRun{world: &world{t: t}}
	for _, c := range []struct {
		beyond  string
		status  int
		events  []int // the answer
		outcome string
	}{
		{beyond: emulator.BeyondNone, status: http.StatusOK, outcome: emulator.RunCompleted},
		{beyond: emulator.BeyondMore, status: http.StatusOK, events: []int{last + 1}, outcome: emulator.RunCompleted},
		{beyond: emulator.BeyondRepeat, status: http.StatusOK, events: []int{last}, outcome: emulator.RunCompleted},
		{beyond: emulator.BeyondRefuse, status: http.StatusBadRequest, outcome: emulator.RunRefused},
		{beyond: emulator.BeyondAnew, status: http.StatusOK, events: []int{1, 2, 3}, outcome: emulator.RunCompleted},
	} {
		t.Run(c.beyond, func(t *testing.T) {
			ledger := emulator.NewLedger()
			e := &engine{Target: &emulator.Target{ID: "x", Slots: 1, EventsPerStream: 1, Software: "v1", Ledger: ledger, Profile: &emulator.Profile{Speed: 1, IdleTimeout: time.Second, MaxConnections: 9, Beyond: c.beyond}}}
			socket := d.listen("127.0.0.1:0")
			if socket == nil {
				t.FailNow()
			}
			e.serveOn(socket)
			defer socket.Close()
			defer e.server.Close()
			for run, want := range []struct {
				after, status int
				events        []int
				outcome       string
			}{
				{0, http.StatusOK, []int{1, 2, 3}, emulator.RunCompleted},
				{last - 1, http.StatusOK, []int{last}, emulator.RunCompleted},
				{last, c.status, c.events, c.outcome},
			} {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.proxyAddress+"/", nil)
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("Request-Id", "a")
				req.Header.Set("Expect-Instance", "x")
				req.Header.Set("Last-Event-Id", fmt.Sprint(want.after))
				req.Header.Set(emulator.HeaderEvents, fmt.Sprint(last))
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				b, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				var body strings.Builder
				for _, n := range want.events {
					body.WriteString(emulator.RunEvent("a", n, "v1", run+1))
				}
				if err != nil || resp.StatusCode != want.status || string(b) != body.String() {
					t.Errorf("answer behind event %d: %s, %q, error %v; want status %d and %q", want.after, resp.Status, b, err, want.status, body.String())
				}
				if runs := ledger.Details("a"); len(runs) != run+1 || runs[run].After != want.after || runs[run].Outcome != want.outcome {
					t.Errorf("runs %+v, want %d, the last one %s behind event %d", runs, run+1, want.outcome, want.after)
				}
			}
		})
	}
}

// Guards against a relay that ends with its target or resets connections: behind a real one, clients of
// an ended target see connections that are accepted and closed.
func TestRelayOutlivesItsTarget(t *testing.T) {
	const last, step = 50, 10 * time.Millisecond
	unframed := *unframedFlag
	t.Cleanup(func() { *unframedFlag = unframed })
	*unframedFlag = 0
	for _, form := range []string{endKill, emulator.EndFinish} {
		t.Run(form, func(t *testing.T) {
			d := &deploymentRun{fleet: fleet{relays: true}, world: &world{t: t, ledger: emulator.NewLedger()}}
			defer func() {
				for _, cleanUp := range d.world.cleanups {
					cleanUp()
				}
			}()
			newEngine := func(id string) *engine {
				return &engine{Target: &emulator.Target{ID: id, Slots: 1, EventsPerStream: 1, Software: "v1", Profile: &emulator.Profile{Speed: 1, Step: step, IdleTimeout: time.Second}}}
			}
			e := newEngine("x")
			d.startProcess(e, "127.0.0.1:0")
			if e.process == nil {
				t.FailNow()
			}
			stream, reader := askThroughRelay(t, e, "a", last)
			if _, err := reader.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
			e.end(form)
			answer, err := io.ReadAll(reader)
			if whole := strings.HasSuffix(string(answer), "0\r\n\r\n"); err != nil || whole != (form == emulator.EndFinish) {
				t.Errorf("stream after the signal: whole %t, error %v; want a proper close", whole, err)
			}
			if err := write(stream, "x"); err != nil {
				t.Errorf("write behind the end: %v", err)
			}
			<-e.process.exited
			for range 3 {
				conn, reader := askThroughRelay(t, e, "b", 1)
				b, err := io.ReadAll(reader)
				if err != nil || len(b) > 0 {
					t.Errorf("answer for an ended target %q, error %v; want a proper close without an answer", b, err)
				}
				time.Sleep(20 * time.Millisecond) // a reset for what was written would have come
				if err := write(conn, "x"); err != nil {
					t.Errorf("write behind the close: %v", err)
				}
			}
			next := newEngine("xn")
			if d.startProcessAgain(next, e); next.process == nil {
				t.FailNow()
			}
			if next.proxyAddress != e.proxyAddress {
				t.Errorf("address of the replacement %s, want %s", next.proxyAddress, e.proxyAddress)
			}
			_, reader = askThroughRelay(t, next, "c", 1)
			if line, err := reader.ReadString('\n'); err != nil || !strings.Contains(line, "200") {
				t.Errorf("answer of the replacement %q, error %v", line, err)
			}
			next.process.Process.Kill()
			<-next.process.exited
		})
	}
}

// askThroughRelay sends a request for a stream on a new connection, which the test closes at its end.
func askThroughRelay(t *testing.T, e *engine, id string, events int) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp4", e.proxyAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	err = write(conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nRequest-Id: %s\r\nExpect-Instance: %s\r\n%s: %d\r\n\r\n", id, e.ID, emulator.HeaderEvents, events))
	if err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func write(conn net.Conn, text string) error {
	_, err := io.WriteString(conn, text)
	return err
}
