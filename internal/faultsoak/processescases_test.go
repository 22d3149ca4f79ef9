package faultsoak

import (
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
	unframed := *unframedFlag
	t.Cleanup(func() { *unframedFlag = unframed })
	*unframedFlag = 0
	for _, c := range []struct {
		form     string
		proper   bool // the stream ends as a complete one
		outcome  string
		min, max time.Duration // from the signal to the end of the stream
	}{
		{form: endKill, outcome: emulator.RunBrokenOff, max: last * step / 2},
		{form: emulator.EndExit, outcome: emulator.RunBrokenOff, max: last * step / 2},
		{form: emulator.EndCancel, proper: true, outcome: emulator.RunBrokenOff, max: last * step / 2},
		{form: emulator.EndFinishCancel, proper: true, outcome: emulator.RunBrokenOff, min: last * step / 4, max: 10 * time.Second},
		{form: emulator.EndFinish, proper: true, outcome: emulator.RunCompleted, min: last * step / 4, max: 10 * time.Second},
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
			if conn, err := net.Dial("tcp4", e.proxyAddress); err == nil {
				conn.Close()
				t.Error("a connection is accepted after the signal")
			}
			b, err := io.ReadAll(resp.Body)
			took, events := time.Since(begin), strings.Count(string(b), "\n\n")
			if (err == nil) != c.proper || (events == last) != (c.outcome == emulator.RunCompleted) || took < c.min || took > c.max {
				t.Errorf("%d events in %s, error %v; want proper %t, %s to %s, %s", events, took, err, c.proper, c.min, c.max, c.outcome)
			}
			<-e.process.exited
			if runs := d.world.ledger.Details("a"); len(runs) != 1 || runs[0].Outcome != c.outcome || runs[0].Events != events && runs[0].Events != events+1 {
				t.Errorf("runs %+v, want one %s with %d events or, not yet sent, one more", runs, c.outcome, events)
			}
		})
	}
}
