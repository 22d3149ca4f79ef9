package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// reportCommand prints the measured samples and the slopes fitted to them.
type reportCommand struct {
	Samples string `arg:"--samples,required" help:"file that measure appended to"`
}

func (c *reportCommand) run(out io.Writer) error {
	samples, err := readSamples(c.Samples)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	printRows(w, samples)
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	w = tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "slope\tbase\tfor each\tunit\trows\tworst miss")
	for _, f := range fits {
		f.print(w, samples)
	}
	return w.Flush()
}

func readSamples(path string) ([]sample, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []sample
	dec := json.NewDecoder(f)
	for {
		var s sample
		err := dec.Decode(&s)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
}

const (
	kilobyte = 1000.0
	mebibyte = 1 << 20
	percent  = 100.0
)

func printRows(w io.Writer, samples []sample) {
	fmt.Fprintln(w, "role\ttargets\tentries\tphase\tin flight\treq/s\tsessions\tRSS MiB\tanon MiB\tcore %\tcontrol out KB/s\tin KB/s\tcontrol msg/s\toverhead B/msg\tlog KB/s\tlist KB/s\tattempt KB/s\tpackets/s\tin effect s\t")
	for _, s := range samples {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%d\t%.1f\t%.0f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.1f\t%.0f\t%.2f\t%.2f\t%.0f\t%.0f\t%.3f\t\n",
			s.Role, s.Targets, s.Entries, s.Phase, s.Streams, s.Requests, s.Sessions, s.RSS/mebibyte, s.Anonymous/mebibyte, s.CPU*percent,
			s.Sent/kilobyte, s.Received/kilobyte, s.Control, s.Overhead, s.LogBytes/kilobyte, s.ListBytes/kilobyte, s.Attempts/kilobyte, s.Packets, s.InEffect)
	}
}

// fit describes a line to be fitted through the samples of a role that selects returns
// true for.
type fit struct {
	name    string
	role    state.Role
	selects func(sample) bool
	x, y    func(sample) float64
	unit    string
}

func sessions(s sample) float64 { return s.Sessions }
func rss(s sample) float64      { return s.RSS / kilobyte }
func cpu(s sample) float64      { return s.CPU * percent }
func isRest(s sample) bool      { return s.Phase == phaseRest }

// controlBytes returns the bytes per second of control traffic on sessions. Those of
// platform calls are subtracted, because checkpoints of the bundle dominate them.
func controlBytes(s sample) float64 { return s.Sent + s.Received - s.LogBytes - s.ListBytes }
func isIdle(s sample) bool          { return s.Phase == phaseIdle }

// inFlight returns the mean number of requests in flight at one process.
func inFlight(s sample) float64 {
	if s.Role == state.EntryRole {
		return float64(s.Streams) / float64(s.Entries)
	}
	return float64(s.Streams) / float64(s.Targets)
}

// hasVariedLoad selects the deployment that is measured with several numbers of
// requests in flight, in the phases idle and load.
func hasVariedLoad(s sample) bool {
	return s.Targets == variedTargets && s.Entries == variedEntries && (s.Phase == phaseLoad || s.Phase == phaseIdle)
}

// allActive selects the load under which every session has an attempt open: 3 requests
// in flight for each session.
func allActive(s sample) bool { return s.Phase == phaseLoad && s.Streams >= 3*s.Targets*s.Entries }

// The size of the deployment that scripts/slopes.sh measures with several loads.
const (
	variedTargets = 16
	variedEntries = 2
)

var fits = []fit{
	{"entry, idle: memory by session", state.EntryRole, isIdle, sessions, rss, "KB"},
	{"entry, idle: processor by session", state.EntryRole, isIdle, sessions, cpu, "% of a core"},
	{"entry, at rest: processor by session", state.EntryRole, isRest, sessions, cpu, "% of a core"},
	{"entry, at rest: control bytes by session, packets included", state.EntryRole, isRest, sessions, controlBytes, "bytes/s"},
	{"entry, every session active: control bytes by session, messages only", state.EntryRole, allActive, sessions, controlBytes, "bytes/s"},
	{"entry: memory by request in flight", state.EntryRole, hasVariedLoad, inFlight, rss, "KB"},
	{"entry: processor by request in flight", state.EntryRole, hasVariedLoad, inFlight, cpu, "% of a core"},
	{"side, idle: memory by session", state.SideRole, isIdle, sessions, rss, "KB"},
	{"side, idle: processor by session", state.SideRole, isIdle, sessions, cpu, "% of a core"},
	{"side, at rest: processor by session", state.SideRole, isRest, sessions, cpu, "% of a core"},
	{"side, at rest: control bytes by session, packets included", state.SideRole, isRest, sessions, controlBytes, "bytes/s"},
	{"side, every session active: control bytes by session, messages only", state.SideRole, allActive, sessions, controlBytes, "bytes/s"},
	{"side: memory by request in flight", state.SideRole, hasVariedLoad, inFlight, rss, "KB"},
	{"side: processor by request in flight", state.SideRole, hasVariedLoad, inFlight, cpu, "% of a core"},
}

func (f *fit) print(w io.Writer, samples []sample) {
	var xs, ys []float64
	for _, s := range samples {
		if s.Role == f.role && f.selects(s) {
			xs, ys = append(xs, f.x(s)), append(ys, f.y(s))
		}
	}
	intercept, slope, maxResidual := fitLine(xs, ys)
	fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%s\t%d\t%.3g\n", f.name, intercept, slope, f.unit, len(xs), maxResidual)
}

// fitLine returns the least-squares line through the points and the largest vertical
// distance of a point from it.
func fitLine(xs, ys []float64) (intercept, slope, maxResidual float64) {
	n := float64(len(xs))
	if n == 0 {
		return 0, 0, 0
	}
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx, sy, sxx, sxy = sx+xs[i], sy+ys[i], sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	intercept = (sy - slope*sx) / n
	for i := range xs {
		maxResidual = max(maxResidual, ys[i]-intercept-slope*xs[i], intercept+slope*xs[i]-ys[i])
	}
	return intercept, slope, maxResidual
}
