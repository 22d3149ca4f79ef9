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

// Range of the histograms, in microseconds, and their precision.
const (
	minRecordedMicros = 1
	maxRecordedMicros = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Kinds of violations.
const (
	violationLost        = "lost"          // no response
	violationDoubled     = "doubled"       // a request ran more than once, or got two different responses
	violationCut         = "cut"           // an incomplete or wrong response without an error
	violationFalseNotRun = "false_not_run" // a request was reported as not run, but ran
)

// allTiersKey is the key of the times of all tiers together.
const allTiersKey = "all"

// maxPrintedViolations bounds the violations that are printed as text.
const maxPrintedViolations = 20

// Violation is one case in which a guarantee was broken.
type Violation struct {
	Kind   string `json:"kind"`
	ID     string `json:"id"`
	Detail string `json:"detail"`
}

// OutcomeCounts counts the requests of one tier and policy by their outcome.
type OutcomeCounts struct {
	Tier    string `json:"tier"`
	Policy  string `json:"policy"`
	InTime  int    `json:"in_time"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
	Unknown int    `json:"unknown"`
	Failed  int    `json:"failed"` // explicit errors with a known outcome
	Broken  int    `json:"broken"`
}

func (r *OutcomeCounts) total() int {
	return r.InTime + r.Late + r.Refused + r.Unknown + r.Failed + r.Broken
}

// Percentiles summarises a distribution of times, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// PrefillWaste counts the prompt tokens of one policy, and those whose prefill was
// wasted, as the entries report them.
type PrefillWaste struct {
	PromptTokens int64 `json:"prompt_tokens"`
	WastedTokens int64 `json:"wasted_prefill_tokens"`
}

// Report is the result of a load.
type Report struct {
	Elapsed float64 `json:"elapsed_s"`
	Sent    int     `json:"sent"`
	Skipped int     `json:"skipped"` // arrivals not sent, because --max-open requests were open
	// GoodputRate is the number of complete responses in time per second. It counts
	// those that ended after the first fifth of the duration and before its end, so
	// that neither the start nor the backlog after the last arrival is included.
	GoodputRate   float64                 `json:"goodput_per_s"`
	CallerCounts  []OutcomeCounts         `json:"rows"`        // as callers see the outcomes, by tier and policy
	FirstToken    map[string]Percentiles  `json:"first_token"` // time to the first token, by tier, and "all"
	TokenGap      map[string]Percentiles  `json:"gap"`         // time between tokens, by tier, and "all"
	ErrorCodes    map[string]int          `json:"refusals"`    // number of requests by error code
	EntryCounts   []OutcomeCounts         `json:"entries"`     // as the entries count the outcomes, by tier and policy
	Waste         map[string]PrefillWaste `json:"waste"`       // by policy
	LedgerChecked bool                    `json:"ledger_checked"`
	Violations    []Violation             `json:"violations"`
}

// addViolation adds a violation of the given kind by the request with this id.
func (r *Report) addViolation(kind, id, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{Kind: kind, ID: id, Detail: fmt.Sprintf(format, args...)})
}

// addEntryCounts adds the outcomes and the wasted prefill by policy from the counters
// of the entries. Callers are not told the policy of their requests.
func (r *Report) addEntryCounts(t vars.Traffic) {
	for _, key := range vars.SortedKeys(t.Requests) {
		policy, tier := vars.SplitKey(key)
		row := OutcomeCounts{
			Tier: tier, Policy: policy, InTime: int(t.Goodput[key]), Late: int(t.Late[key]),
			Refused: int(t.Refused[key]), Unknown: int(t.Unknown[key]),
		}
		row.Failed = int(t.Requests[key]) - row.InTime - row.Late - row.Refused - row.Unknown
		r.EntryCounts = append(r.EntryCounts, row)
	}
	by := t.SumBy(vars.Policy)
	r.Waste = make(map[string]PrefillWaste)
	for _, policy := range vars.SortedKeys(by.PromptTokens, by.WastedPrefillTokens) {
		r.Waste[policy] = PrefillWaste{PromptTokens: by.PromptTokens[policy], WastedTokens: by.WastedPrefillTokens[policy]}
	}
}

// tally collects the results of all requests. It is safe for concurrent use.
type tally struct {
	mu            sync.Mutex
	duration      time.Duration // how long requests are sent
	countedInRate int           // responses counted in GoodputRate
	sent          int
	skipped       int
	counts        map[[2]string]*OutcomeCounts       // by tier and policy
	firstToken    map[string]*hdrhistogram.Histogram // by tier and allTiersKey
	tokenGap      map[string]*hdrhistogram.Histogram // by tier and allTiersKey
	errorCodes    map[string]int                     // number of requests by error code
	found         Report                             // only its Violations are used
}

func newTally(duration time.Duration) *tally {
	return &tally{
		duration:   duration,
		counts:     make(map[[2]string]*OutcomeCounts),
		firstToken: make(map[string]*hdrhistogram.Histogram),
		tokenGap:   make(map[string]*hdrhistogram.Histogram),
		errorCodes: make(map[string]int),
	}
}

// addSkipped counts an arrival that was not sent.
func (t *tally) addSkipped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skipped++
}

// add counts one request. With tolerateEntryFailures, broken connections are not
// violations.
func (t *tally) add(e *exchange, tolerateEntryFailures bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	r := e.decidingResult()
	tier := e.spec.tier
	if tier == "" {
		tier = "default"
	}
	t.countsOf(tier, r.policy).add(r, e.spec)
	if end := e.spec.arrival + r.elapsed; r.inTime(e.spec) && end >= t.warmupEnd() && end <= t.duration {
		t.countedInRate++
	}
	if r.code != "" {
		t.errorCodes[r.code]++
	}
	t.recordTimes(tier, r)
	t.checkResults(e, tolerateEntryFailures)
}

// warmupEnd returns the end of the warm-up, as time since the start. GoodputRate
// excludes responses that end before it.
func (t *tally) warmupEnd() time.Duration { return t.duration / 5 }

// inTime reports whether the response is complete and within its deadline.
func (r *sendResult) inTime(s *requestSpec) bool {
	return r.outcome == outcomeComplete && r.elapsed <= s.timeout
}

// countsOf returns the counts of the tier and policy, which it creates if needed.
func (t *tally) countsOf(tier, policy string) *OutcomeCounts {
	if policy == "" {
		policy = "-"
	}
	key := [2]string{tier, policy}
	if t.counts[key] == nil {
		t.counts[key] = &OutcomeCounts{Tier: tier, Policy: policy}
	}
	return t.counts[key]
}

// add counts one request, of which r is the deciding result.
func (row *OutcomeCounts) add(r *sendResult, s *requestSpec) {
	switch r.outcome {
	case outcomeComplete:
		if r.inTime(s) {
			row.InTime++
		} else {
			row.Late++
		}
	case outcomeRefused:
		row.Refused++
	case outcomeUnknown:
		// As in the counters of the entries, a request that timed out is late.
		if r.code == string(state.ReasonTimeout) {
			row.Late++
		} else {
			row.Unknown++
		}
	case outcomeFailed:
		row.Failed++
	case outcomeBroken, outcomeCut:
		row.Broken++
	}
}

// recordTimes records the time to the first token and the times between tokens of r,
// for its tier and for all tiers.
func (t *tally) recordTimes(tier string, r *sendResult) {
	for _, key := range []string{tier, allTiersKey} {
		if r.firstToken > 0 {
			recordTime(t.firstToken, key, r.firstToken)
		}
		for _, gap := range r.tokenGaps {
			recordTime(t.tokenGap, key, gap)
		}
	}
}

// recordTime records d in the histogram of the tier, which it creates if needed.
func recordTime(histograms map[string]*hdrhistogram.Histogram, tier string, d time.Duration) {
	if histograms[tier] == nil {
		histograms[tier] = hdrhistogram.New(minRecordedMicros, maxRecordedMicros, significantDigits)
	}
	// Recording a value within the range of the histogram cannot fail.
	_ = histograms[tier].RecordValue(min(max(d.Microseconds(), minRecordedMicros), maxRecordedMicros))
}

// checkResults adds the violations that show in the responses alone, without a
// ledger.
func (t *tally) checkResults(e *exchange, tolerateEntryFailures bool) {
	var first *sendResult
	for _, r := range e.results {
		switch {
		case r.outcome == outcomeCut:
			t.found.addViolation(violationCut, e.spec.id, "%s", r.detail)
		case r.timedOut:
			t.found.addViolation(violationLost, e.spec.id, "no complete response within the timeout plus %s: %s", responseGrace, r.detail)
		case r.outcome == outcomeComplete && first == nil:
			first = r
		case r.outcome == outcomeComplete && !bytes.Equal(first.content, r.content):
			t.found.addViolation(violationDoubled, e.spec.id, "two different responses for one idempotency key")
		}
	}
	if r := e.decidingResult(); r.outcome == outcomeBroken && !r.timedOut && !tolerateEntryFailures {
		t.found.addViolation(violationLost, e.spec.id, "connection broken: %s", r.detail)
	}
}

// printProgress prints one line with the counts so far.
func (t *tally) printProgress(out io.Writer, elapsed time.Duration, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum OutcomeCounts
	for _, row := range t.counts {
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

// report returns the report of the results so far.
func (t *tally) report(elapsed time.Duration) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{
		GoodputRate: float64(t.countedInRate) / (t.duration - t.warmupEnd()).Seconds(),
		Elapsed:     elapsed.Seconds(), Sent: t.sent, Skipped: t.skipped, ErrorCodes: t.errorCodes,
		FirstToken: percentiles(t.firstToken), TokenGap: percentiles(t.tokenGap), Violations: t.found.Violations,
	}
	for _, row := range t.counts {
		r.CallerCounts = append(r.CallerCounts, *row)
	}
	slices.SortFunc(r.CallerCounts, func(a, b OutcomeCounts) int {
		return slices.Compare([]string{a.Tier, a.Policy}, []string{b.Tier, b.Policy})
	})
	return r
}

// percentiles summarises each histogram. The histograms record microseconds.
func percentiles(histograms map[string]*hdrhistogram.Histogram) map[string]Percentiles {
	out := make(map[string]Percentiles, len(histograms))
	for tier, h := range histograms {
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
	printCounts(w, "tier, as callers see it", r.CallerCounts)
	if len(r.EntryCounts) > 0 {
		printCounts(w, "tier, as entries count", r.EntryCounts)
	}
	r.printTimes(w, "first token", r.FirstToken)
	r.printTimes(w, "gap", r.TokenGap)
	fmt.Fprintf(w, "\npolicy\tprompt tokens\twasted prefill\tshare\t\n")
	for _, policy := range slices.Sorted(maps.Keys(r.Waste)) {
		waste := r.Waste[policy]
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f%%\t\n", policy, waste.PromptTokens, waste.WastedTokens, 100*float64(waste.WastedTokens)/float64(max(1, waste.PromptTokens)))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return r.printViolations(out)
}

// printCounts prints a table of counts. The column goodput is the number of requests
// that ended in time, and share is their share of all requests.
func printCounts(w io.Writer, name string, rows []OutcomeCounts) {
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

// printViolations prints the number of violations of each kind, and the first
// maxPrintedViolations in full.
func (r *Report) printViolations(out io.Writer) error {
	count := make(map[string]int)
	for _, v := range r.Violations {
		count[v.Kind]++
	}
	_, err := fmt.Fprintf(out, "\nsent %d, skipped %d, lost %d, doubled %d, cut %d, false not-run %d; ledger checked: %t\n",
		r.Sent, r.Skipped, count[violationLost], count[violationDoubled], count[violationCut], count[violationFalseNotRun], r.LedgerChecked)
	for _, v := range r.Violations[:min(len(r.Violations), maxPrintedViolations)] {
		fmt.Fprintf(out, "%s %s: %s\n", v.Kind, v.ID, v.Detail)
	}
	return err
}
