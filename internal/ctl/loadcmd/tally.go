package loadcmd

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiaramp/cassiaramp/internal/ctl/vars"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Bounds of the histograms, in microseconds.
const (
	shortestTime = 1
	longestTime  = int64(time.Hour / time.Microsecond)
	digits       = 3
)

// The kinds of violation.
const (
	lost        = "lost"          // no response
	doubled     = "doubled"       // ran more than once, or two different responses
	cutShort    = "cut"           // a response that is not whole and does not say so
	falseNotRun = "false_not_run" // reported as not run, but ran
)

// allTiers is the key of the times over all tiers.
const allTiers = "all"

// maxListed bounds the violations that are printed.
const maxListed = 20

// Violation is one broken guarantee.
type Violation struct {
	Kind   string `json:"kind"`
	ID     string `json:"id"`
	Detail string `json:"detail"`
}

// Row counts the requests of one tier and policy.
type Row struct {
	Tier    string `json:"tier"`
	Policy  string `json:"policy"`
	InTime  int    `json:"in_time"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
	Unknown int    `json:"unknown"`
	Failed  int    `json:"failed"` // explicit errors with a known outcome
	Broken  int    `json:"broken"`
}

func (r *Row) total() int {
	return r.InTime + r.Late + r.Refused + r.Unknown + r.Failed + r.Broken
}

// Percentiles are times in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Waste is the wasted prefill of one policy as the entries count it.
type Waste struct {
	PromptTokens int64 `json:"prompt_tokens"`
	Wasted       int64 `json:"wasted_prefill_tokens"`
}

// Report is the result of a load.
type Report struct {
	Elapsed float64 `json:"elapsed_s"`
	Sent    int     `json:"sent"`
	Skipped int     `json:"skipped"` // arrivals above the bound on open requests
	// GoodputRate is the number of responses per second that ended in time after
	// the first fifth of the duration and before its end: neither the start nor
	// the backlog that is served after the last arrival counts.
	GoodputRate   float64                `json:"goodput_per_s"`
	Rows          []Row                  `json:"rows"`
	FirstToken    map[string]Percentiles `json:"first_token"` // by tier, and "all"
	Gap           map[string]Percentiles `json:"gap"`         // by tier, and "all"
	Refusals      map[string]int         `json:"refusals"`    // by error code
	Entries       []Row                  `json:"entries"`     // as the entries count, by tier and policy
	Waste         map[string]Waste       `json:"waste"`       // by policy
	LedgerChecked bool                   `json:"ledger_checked"`
	Violations    []Violation            `json:"violations"`
}

func (r *Report) violate(kind, id, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{Kind: kind, ID: id, Detail: fmt.Sprintf(format, args...)})
}

// addTraffic takes goodput by policy and wasted prefill from the entries'
// counters. Callers are not told the policy of their requests.
func (r *Report) addTraffic(t vars.Traffic) {
	for _, key := range vars.SortedKeys(t.Requests) {
		policy, tier := vars.SplitKey(key)
		row := Row{
			Tier: tier, Policy: policy, InTime: int(t.Goodput[key]), Late: int(t.Late[key]),
			Refused: int(t.Refused[key]), Unknown: int(t.Unknown[key]),
		}
		row.Failed = int(t.Requests[key]) - row.InTime - row.Late - row.Refused - row.Unknown
		r.Entries = append(r.Entries, row)
	}
	by := t.SumBy(vars.Policy)
	r.Waste = make(map[string]Waste)
	for _, policy := range vars.SortedKeys(by.PromptTokens, by.WastedPrefillTokens) {
		r.Waste[policy] = Waste{PromptTokens: by.PromptTokens[policy], Wasted: by.WastedPrefillTokens[policy]}
	}
}

// tally counts results. It is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	duration time.Duration // of sending
	steady   int           // responses counted in GoodputRate
	sent     int
	skipped  int
	rows     map[[2]string]*Row
	first    map[string]*hdrhistogram.Histogram
	gap      map[string]*hdrhistogram.Histogram
	refusals map[string]int
	broken   Report // violations so far
}

func newTally(duration time.Duration) *tally {
	return &tally{
		duration: duration,
		rows:     make(map[[2]string]*Row),
		first:    make(map[string]*hdrhistogram.Histogram),
		gap:      make(map[string]*hdrhistogram.Histogram),
		refusals: make(map[string]int),
	}
}

func (t *tally) skip() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skipped++
}

// add counts one exchange.
func (t *tally) add(e *exchange, entryFailures bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	r := e.best()
	tier := e.spec.tier
	if tier == "" {
		tier = "default"
	}
	t.row(tier, r.policy).count(r, e.spec)
	if end := e.spec.at + r.took; r.inTime(e.spec) && end >= t.settled() && end <= t.duration {
		t.steady++
	}
	if r.code != "" {
		t.refusals[r.code]++
	}
	t.times(tier, r)
	t.violations(e, entryFailures)
}

// settled is the end of the time that GoodputRate leaves out.
func (t *tally) settled() time.Duration { return t.duration / 5 }

// inTime reports whether the response is whole and within its deadline.
func (r *reply) inTime(s *spec) bool { return r.outcome == whole && r.took <= s.timeout }

func (t *tally) row(tier, policy string) *Row {
	if policy == "" {
		policy = "-"
	}
	key := [2]string{tier, policy}
	if t.rows[key] == nil {
		t.rows[key] = &Row{Tier: tier, Policy: policy}
	}
	return t.rows[key]
}

// count files one reply.
func (row *Row) count(r *reply, s *spec) {
	switch r.outcome {
	case whole:
		if r.inTime(s) {
			row.InTime++
		} else {
			row.Late++
		}
	case refused:
		row.Refused++
	case unknown:
		// The entries count a request that ran out of time as late, too.
		if r.code == string(state.ReasonTimeout) {
			row.Late++
		} else {
			row.Unknown++
		}
	case failed:
		row.Failed++
	case broken, cut:
		row.Broken++
	}
}

func (t *tally) times(tier string, r *reply) {
	for _, key := range []string{tier, allTiers} {
		if r.first > 0 {
			record(t.first, key, r.first)
		}
		for _, gap := range r.gaps {
			record(t.gap, key, gap)
		}
	}
}

func record(to map[string]*hdrhistogram.Histogram, tier string, d time.Duration) {
	if to[tier] == nil {
		to[tier] = hdrhistogram.New(shortestTime, longestTime, digits)
	}
	// Within bounds, recording cannot fail.
	_ = to[tier].RecordValue(min(max(d.Microseconds(), shortestTime), longestTime))
}

// violations checks what the replies alone show.
func (t *tally) violations(e *exchange, entryFailures bool) {
	var first *reply
	for _, r := range e.replies {
		switch {
		case r.outcome == cut:
			t.broken.violate(cutShort, e.spec.id, "%s", r.detail)
		case r.expired:
			t.broken.violate(lost, e.spec.id, "no end within the timeout and %s: %s", grace, r.detail)
		case r.outcome == whole && first == nil:
			first = r
		case r.outcome == whole && !bytes.Equal(first.content, r.content):
			t.broken.violate(doubled, e.spec.id, "two different responses for one key")
		}
	}
	if r := e.best(); r.outcome == broken && !r.expired && !entryFailures {
		t.broken.violate(lost, e.spec.id, "connection broken: %s", r.detail)
	}
}

// progress prints one line.
func (t *tally) progress(out io.Writer, elapsed time.Duration, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum Row
	for _, row := range t.rows {
		sum.InTime += row.InTime
		sum.Late += row.Late
		sum.Refused += row.Refused
		sum.Unknown += row.Unknown
		sum.Failed += row.Failed
		sum.Broken += row.Broken
	}
	fmt.Fprintf(out, "%5.1fs ended=%d open=%d in_time=%d late=%d refused=%d unknown=%d failed=%d broken=%d skipped=%d\n",
		elapsed.Seconds(), t.sent, open, sum.InTime, sum.Late, sum.Refused, sum.Unknown, sum.Failed, sum.Broken, t.skipped)
}

func (t *tally) report(elapsed time.Duration) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{
		GoodputRate: float64(t.steady) / (t.duration - t.settled()).Seconds(),
		Elapsed:     elapsed.Seconds(), Sent: t.sent, Skipped: t.skipped, Refusals: t.refusals,
		FirstToken: percentiles(t.first), Gap: percentiles(t.gap), Violations: t.broken.Violations,
	}
	for _, row := range t.rows {
		r.Rows = append(r.Rows, *row)
	}
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return slices.Compare([]string{a.Tier, a.Policy}, []string{b.Tier, b.Policy})
	})
	return r
}

func percentiles(from map[string]*hdrhistogram.Histogram) map[string]Percentiles {
	out := make(map[string]Percentiles, len(from))
	for tier, h := range from {
		ms := func(v int64) float64 { return float64(v) / 1000 }
		out[tier] = Percentiles{
			Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
			P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
		}
	}
	return out
}

// print writes the report as tables.
func (r *Report) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	printRows(w, "tier, as callers see it", r.Rows)
	if len(r.Entries) > 0 {
		printRows(w, "tier, as entries count", r.Entries)
	}
	r.printTimes(w, "first token", r.FirstToken)
	r.printTimes(w, "gap", r.Gap)
	fmt.Fprintf(w, "\npolicy\tprompt tokens\twasted prefill\tshare\t\n")
	for _, policy := range slices.Sorted(maps.Keys(r.Waste)) {
		waste := r.Waste[policy]
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f%%\t\n", policy, waste.PromptTokens, waste.Wasted, 100*float64(waste.Wasted)/float64(max(1, waste.PromptTokens)))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return r.printViolations(out)
}

// printRows prints rows; goodput is the number of requests that ended in time, and
// its share of all.
func printRows(w io.Writer, name string, rows []Row) {
	fmt.Fprintf(w, "\n%s\tpolicy\tgoodput\tshare\tlate\trefused\tunknown\tfailed\tbroken\t\n", name)
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t\n", row.Tier, row.Policy, row.InTime,
			100*float64(row.InTime)/float64(max(1, row.total())), row.Late, row.Refused, row.Unknown, row.Failed, row.Broken)
	}
}

func (r *Report) printTimes(w io.Writer, name string, times map[string]Percentiles) {
	fmt.Fprintf(w, "\n%s, ms\tcount\tp50\tp95\tp99\tmax\t\n", name)
	for _, tier := range slices.Sorted(maps.Keys(times)) {
		p := times[tier]
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", tier, p.Count, p.P50, p.P95, p.P99, p.Max)
	}
}

func (r *Report) printViolations(out io.Writer) error {
	count := make(map[string]int)
	for _, v := range r.Violations {
		count[v.Kind]++
	}
	_, err := fmt.Fprintf(out, "\nsent %d, skipped %d, lost %d, doubled %d, cut %d, false not-run %d; ledger checked: %t\n",
		r.Sent, r.Skipped, count[lost], count[doubled], count[cutShort], count[falseNotRun], r.LedgerChecked)
	for _, v := range r.Violations[:min(len(r.Violations), maxListed)] {
		fmt.Fprintf(out, "%s %s: %s\n", v.Kind, v.ID, v.Detail)
	}
	return err
}
