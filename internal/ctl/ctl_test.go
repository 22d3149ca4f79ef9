// Package ctl tests the subcommands that read metrics. Stub processes publish the
// metrics.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/ctl/comparecmd"
	"github.com/cassiaramp/cassiaramp/internal/ctl/predictionscmd"
	"github.com/cassiaramp/cassiaramp/internal/ctl/statuscmd"
	"github.com/cassiaramp/cassiaramp/internal/ctl/vars"
	"github.com/cassiaramp/cassiaramp/internal/ctl/watchcmd"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// serve runs a stub process and returns its URL. The n-th read of /debug/vars gets
// the n-th document, and every read after the last document gets the last one.
func serve(t *testing.T, documents ...vars.Metrics) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var reads atomic.Int64
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		n := min(int(reads.Add(1)), len(documents)) - 1
		json.NewEncoder(ctx).Encode(documents[n])
	}}
	go server.Serve(ln)
	t.Cleanup(func() { server.Shutdown() })
	return "http://" + ln.Addr().String()
}

type command interface {
	Run(ctx context.Context, out io.Writer) error
}

// run runs a command and returns the JSON document that it prints, and its error.
func run[T any](t *testing.T, c command) (T, error) {
	t.Helper()
	var out strings.Builder
	err := c.Run(context.Background(), &out)
	var v T
	if jsonErr := json.Unmarshal([]byte(out.String()), &v); jsonErr != nil {
		t.Fatalf("%v in %q, error %v", jsonErr, out.String(), err)
	}
	return v, err
}

// Guards against a status that hides an unreachable process, different bundle
// versions or a violated invariant.
func TestStatus(t *testing.T) {
	entry := vars.Metrics{Process: vars.Process{Instance: "entry-0", Role: "entry"}, BundleVersion: 4, Targets: map[string]vars.Target{"e1": {Service: "s", Connected: true}, "e2": {Service: "s", Leaving: true}}}
	side := vars.Metrics{BundleVersion: 4, Figures: &state.LoadFigures{QueuedCount: [state.MaxTiers]int{1, 0, 5}}}
	old := vars.Metrics{BundleVersion: 3, Queue: vars.Counts{"2": 1}}
	violated := vars.Metrics{BundleVersion: 4, InvariantViolations: vars.Counts{"tier_order": 1}}

	s, err := run[statuscmd.Status](t, &statuscmd.Command{ProcessFlags: vars.ProcessFlags{Admin: []string{serve(t, entry), serve(t, side)}}, JSON: true})
	if err != nil || s.BundleVersion != 4 {
		t.Errorf("bundle version %d, error %v", s.BundleVersion, err)
	}
	if diff := cmp.Diff(vars.Counts{"0": 1, "2": 5}, s.Queue); diff != "" || s.Instances[0].Name != "entry-0" {
		t.Errorf("instance %q, queue (-want +got):\n%s", s.Instances[0].Name, diff)
	}
	want := map[string]statuscmd.Target{"e1": {Service: "s", Connected: 1}, "e2": {Service: "s", Leaving: true}}
	if diff := cmp.Diff(want, s.Targets); diff != "" {
		t.Errorf("targets (-want +got):\n%s", diff)
	}
	for name, urls := range map[string][]string{
		"other version": {serve(t, side), serve(t, old)},
		"unreachable":   {serve(t, side), "http://127.0.0.1:1"},
		"violation":     {serve(t, violated)},
	} {
		s, err := run[statuscmd.Status](t, &statuscmd.Command{ProcessFlags: vars.ProcessFlags{Admin: urls}, JSON: true})
		if !errors.Is(err, statuscmd.ErrUnhealthy) || len(s.Problems) != 1 {
			t.Errorf("%s: error %v, problems %q", name, err, s.Problems)
		}
	}
}

// traffic returns the metrics of an entry with the policies "a" and "b" and the tiers
// 0 and 1. Requests are equal for all four; all requests of tier 1 are in time.
func traffic(requests, goodputA, goodputB, wastedA, wastedB int64) vars.Metrics {
	return vars.Metrics{
		Requests:            vars.Counts{"a/0": requests, "a/1": requests, "b/0": requests, "b/1": requests},
		Goodput:             vars.Counts{"a/0": goodputA, "a/1": requests, "b/0": goodputB, "b/1": requests},
		PromptTokens:        vars.Counts{"a/0": 1000, "b/0": 1000},
		WastedPrefillTokens: vars.Counts{"a/0": wastedA, "b/0": wastedB},
	}
}

// Guards against a refresh that shows totals instead of increases, or a negative
// increase for a process that was restarted.
func TestWatch(t *testing.T) {
	first, second := traffic(100, 90, 80, 10, 20), traffic(110, 98, 84, 10, 25)
	restarted := traffic(7, 5, 5, 0, 0)
	c := &watchcmd.Command{ProcessFlags: vars.ProcessFlags{Admin: []string{serve(t, first, second), serve(t, first, restarted)}}, Count: 1, Interval: time.Millisecond, JSON: true}
	r, err := run[watchcmd.Refresh](t, c)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(vars.Counts{"0": 20 + 14, "1": 20 + 14}, r.ByTier.Requests); diff != "" {
		t.Errorf("requests by tier (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(vars.Counts{"a": 0, "b": 5}, r.ByPolicy.WastedPrefillTokens); diff != "" {
		t.Errorf("wasted by policy (-want +got):\n%s", diff)
	}
}

// Guards against a comparison that confuses the policies, includes traffic from
// before it began, or succeeds without traffic.
func TestCompare(t *testing.T) {
	url := serve(t, traffic(100, 90, 80, 10, 20), traffic(200, 140, 180, 10, 520))
	c := &comparecmd.Command{Policies: []string{"a", "b"}, ProcessFlags: vars.ProcessFlags{Admin: []string{url}}, Duration: time.Millisecond, JSON: true}
	got, err := run[comparecmd.Comparison](t, c)
	if err != nil {
		t.Fatal(err)
	}
	want := []comparecmd.Row{
		{Tier: "0", Requests: [2]int64{100, 100}, Goodput: [2]float64{0.5, 1}},
		{Tier: "1", Requests: [2]int64{100, 100}, Goodput: [2]float64{1, 1}},
		{Tier: comparecmd.AllTiers, Requests: [2]int64{200, 200}, Goodput: [2]float64{0.75, 1}},
	}
	if diff := cmp.Diff(want, got.Rows); diff != "" || got.WastedPrefillTokens != [2]int64{0, 500} {
		t.Errorf("wasted %v, rows (-want +got):\n%s", got.WastedPrefillTokens, diff)
	}
	c.Policies[1] = "missing"
	if err := c.Run(context.Background(), io.Discard); !errors.Is(err, comparecmd.ErrNoTraffic) {
		t.Errorf("error %v, want %v", err, comparecmd.ErrNoTraffic)
	}
}

// Guards against argument tags that go-arg rejects.
func TestArguments(t *testing.T) {
	for name, tc := range map[string]struct {
		dest any
		args []string
	}{
		"watch":   {&watchcmd.Command{}, []string{"--admin", "http://a", "--admin", "http://b", "--count", "2"}},
		"status":  {&statuscmd.Command{}, []string{"--admin", "http://a", "--json"}},
		"compare": {&comparecmd.Command{}, []string{"cost", "round-robin", "--admin", "http://a"}},
	} {
		p, err := arg.NewParser(arg.Config{}, tc.dest)
		if err != nil {
			t.Fatal(err)
		}
		if err := p.Parse(tc.args); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a table in which the rows of several entries are not added up.
func TestPredictionsAreSummedOverEntries(t *testing.T) {
	row := state.CalibrationRow{Service: "s", Route: "chat", Speed: "slow", Load: "full", Cut: 2}
	row.Start.Observe(3*time.Second, time.Second)
	row.End.Observe(time.Second, time.Second)
	metrics := vars.Metrics{Predictions: []state.CalibrationRow{row}}
	got, err := run[[]state.CalibrationRow](t, &predictionscmd.Command{ProcessFlags: vars.ProcessFlags{Admin: []string{serve(t, metrics), serve(t, metrics)}}, JSON: true})
	want := row
	want.Start.Add(row.Start)
	want.End.Add(row.End)
	want.Cut = 4
	if err != nil || len(got) != 1 || !cmp.Equal(got[0], want) {
		t.Errorf("rows %+v, error %v, want %+v", got, err, want)
	}
	if ratio := got[0].Start.MeanRatio(); ratio < 2.99 || ratio > 3.01 {
		t.Errorf("mean ratio %g, want 3", ratio)
	}
	if _, err := run[any](t, &predictionscmd.Command{ProcessFlags: vars.ProcessFlags{Admin: []string{serve(t, vars.Metrics{Process: vars.Process{Role: "entry"}}), serve(t, metrics)}}, JSON: true}); err != nil {
		t.Errorf("error %v beside a process without predictions", err)
	}
}
