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

// report prints the measured rows and the slopes fitted to them.
type report struct {
	Samples string `arg:"--samples,required" help:"file that measure appended to"`
}

func (c *report) run(out io.Writer) error {
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

// fit is a line through the samples of a role and phase.
type fit struct {
	name string
	role state.Role
	use  func(sample) bool
	x, y func(sample) float64
	unit string
}

func sessions(s sample) float64 { return s.Sessions }
func rss(s sample) float64      { return s.RSS / kilobyte }
func cpu(s sample) float64      { return s.CPU * percent }
func rest(s sample) bool        { return s.Phase == phaseRest }

// control returns the bytes of sessions without those of platform calls, in
// which checkpoints of the bundle stand out.
func control(s sample) float64 { return s.Sent + s.Received - s.LogBytes - s.ListBytes }
func idle(s sample) bool       { return s.Phase == phaseIdle }

// inFlight returns the requests in flight at one process.
func inFlight(s sample) float64 {
	if s.Role == state.EntryRole {
		return float64(s.Streams) / float64(s.Entries)
	}
	return float64(s.Streams) / float64(s.Targets)
}

// streamsVaried selects the deployment that was measured with several numbers of
// requests in flight, and allActive the load under which every session has an
// attempt open.
func streamsVaried(s sample) bool {
	return s.Targets == variedTargets && s.Entries == variedEntries && (s.Phase == phaseLoad || s.Phase == phaseIdle)
}

func allActive(s sample) bool { return s.Phase == phaseLoad && s.Streams >= 3*s.Targets*s.Entries }

// The deployment that scripts/slopes.sh measures with several loads.
const (
	variedTargets = 16
	variedEntries = 2
)

var fits = []fit{
	{"entry, idle: memory by session", state.EntryRole, idle, sessions, rss, "KB"},
	{"entry, idle: processor by session", state.EntryRole, idle, sessions, cpu, "% of a core"},
	{"entry, at rest: processor by session", state.EntryRole, rest, sessions, cpu, "% of a core"},
	{"entry, at rest: control bytes by session, packets included", state.EntryRole, rest, sessions, control, "bytes/s"},
	{"entry, every session active: control bytes by session, messages only", state.EntryRole, allActive, sessions, control, "bytes/s"},
	{"entry: memory by request in flight", state.EntryRole, streamsVaried, inFlight, rss, "KB"},
	{"entry: processor by request in flight", state.EntryRole, streamsVaried, inFlight, cpu, "% of a core"},
	{"side, idle: memory by session", state.SideRole, idle, sessions, rss, "KB"},
	{"side, idle: processor by session", state.SideRole, idle, sessions, cpu, "% of a core"},
	{"side, at rest: processor by session", state.SideRole, rest, sessions, cpu, "% of a core"},
	{"side, at rest: control bytes by session, packets included", state.SideRole, rest, sessions, control, "bytes/s"},
	{"side, every session active: control bytes by session, messages only", state.SideRole, allActive, sessions, control, "bytes/s"},
	{"side: memory by request in flight", state.SideRole, streamsVaried, inFlight, rss, "KB"},
	{"side: processor by request in flight", state.SideRole, streamsVaried, inFlight, cpu, "% of a core"},
}

func (f *fit) print(w io.Writer, samples []sample) {
	var xs, ys []float64
	for _, s := range samples {
		if s.Role == f.role && f.use(s) {
			xs, ys = append(xs, f.x(s)), append(ys, f.y(s))
		}
	}
	base, slope, miss := line(xs, ys)
	fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%s\t%d\t%.3g\n", f.name, base, slope, f.unit, len(xs), miss)
}

// line returns the least-squares line through the points and the largest
// distance of a point from it.
func line(xs, ys []float64) (base, slope, miss float64) {
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
	base = (sy - slope*sx) / n
	for i := range xs {
		miss = max(miss, ys[i]-base-slope*xs[i], base+slope*xs[i]-ys[i])
	}
	return base, slope, miss
}
