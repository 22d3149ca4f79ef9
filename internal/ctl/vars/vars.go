// Package vars reads the metrics that cassiaramp processes publish through expvar
// at /debug/vars of their admin address.
package vars

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// fetchTimeout bounds the reading of /debug/vars of one process.
const fetchTimeout = 2 * time.Second

// maxBodyBytes bounds the size of a response body. The memstats of expvar alone
// take about 6 KB; the ledger of a stand-in has about 250 bytes for each request.
const maxBodyBytes = 64 << 20

// Metrics are the metrics that one process publishes. Counters of requests and
// tokens have keys of the form "policy/tier".
type Metrics struct {
	Process             Process            `json:"process"`
	BundleVersion       uint64             `json:"bundle_version"`
	Goodput             Counts             `json:"goodput"`
	Requests            Counts             `json:"requests"`
	RefusedNotRun       Counts             `json:"refused_not_run"`
	OutcomeUnknown      Counts             `json:"outcome_unknown"`
	Late                Counts             `json:"late"`
	WastedPrefillTokens Counts             `json:"wasted_prefill_tokens"`
	PromptTokens        Counts             `json:"prompt_tokens"`
	Queue               Counts             `json:"queue"`   // queued requests by tier
	Figures             *state.LoadFigures `json:"figures"` // published by side processes only
	InvariantViolations Counts             `json:"invariant_violations"`
	Targets             map[string]Target  `json:"targets"`
	// Predictions is published by entries on the users' platform only.
	Predictions []state.CalibrationRow `json:"predictions,omitempty"`
}

// Process identifies a process by its instance and role.
type Process struct {
	Instance string `json:"instance"`
	Role     string `json:"role"`
}

// QueuedByTier returns Queue. A side process that publishes only its load figures
// has no Queue; for it, the counts come from Figures, keyed by the number of the
// tier.
func (m *Metrics) QueuedByTier() Counts {
	if m.Queue != nil || m.Figures == nil {
		return m.Queue
	}
	out := make(Counts)
	for tier, n := range m.Figures.QueuedCount {
		if n > 0 {
			out[strconv.Itoa(tier)] = int64(n)
		}
	}
	return out
}

// Target is the state of a target as one entry sees it.
type Target struct {
	Service     string `json:"service"`
	Connected   bool   `json:"connected"`
	Leaving     bool   `json:"leaving"`
	Ejected     bool   `json:"ejected"`
	Outstanding int    `json:"outstanding"`
}

// Counts maps a key, such as "policy/tier" or a tier, to a count.
type Counts map[string]int64

// Total returns the sum over all keys.
func (c Counts) Total() int64 {
	sum := int64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}

// Add adds other to c key by key; c must not be nil.
func (c Counts) Add(other Counts) {
	for k, n := range other {
		c[k] += n
	}
}

// IncreaseSince returns the increase from earlier to c. A counter that is below its
// earlier value was reset by a restart of the process, so its whole value counts.
func (c Counts) IncreaseSince(earlier Counts) Counts {
	out := make(Counts, len(c))
	for k, n := range c {
		if before := earlier[k]; before <= n {
			n -= before
		}
		out[k] = n
	}
	return out
}

// SumBy sums the counts by a part of their "policy/tier" keys, which keyPart
// selects.
func (c Counts) SumBy(keyPart func(policy, tier string) string) Counts {
	out := make(Counts)
	for k, n := range c {
		policy, tier := SplitKey(k)
		out[keyPart(policy, tier)] += n
	}
	return out
}

// Policy selects the policy of a key; it is an argument for SumBy.
func Policy(policy, _ string) string { return policy }

// Tier selects the tier of a key; it is an argument for SumBy.
func Tier(_, tier string) string { return tier }

// SplitKey splits a key of the form "policy/tier" at its last slash. A key without
// a slash is a policy with an empty tier.
func SplitKey(key string) (policy, tier string) {
	if i := strings.LastIndexByte(key, '/'); i >= 0 {
		return key[:i], key[i+1:]
	}
	return key, ""
}

// SortedKeys returns the sorted union of the keys of all counts.
func SortedKeys(counts ...Counts) []string {
	all := make(map[string]bool)
	for _, c := range counts {
		for k := range c {
			all[k] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Traffic holds the request and token counters of several processes, summed by
// "policy/tier" or, after SumBy, by one of the two.
type Traffic struct {
	Requests            Counts `json:"requests"`
	Goodput             Counts `json:"goodput"`
	Late                Counts `json:"late"`
	Refused             Counts `json:"refused_not_run"`
	Unknown             Counts `json:"outcome_unknown"`
	PromptTokens        Counts `json:"prompt_tokens"`
	WastedPrefillTokens Counts `json:"wasted_prefill_tokens"`
}

// newTraffic returns a Traffic with empty counters.
func newTraffic() Traffic {
	return Traffic{
		Requests: Counts{}, Goodput: Counts{}, Late: Counts{}, Refused: Counts{},
		Unknown: Counts{}, PromptTokens: Counts{}, WastedPrefillTokens: Counts{},
	}
}

// SumBy sums every counter by a part of its keys, which keyPart selects.
func (t Traffic) SumBy(keyPart func(policy, tier string) string) Traffic {
	return Traffic{
		Requests: t.Requests.SumBy(keyPart), Goodput: t.Goodput.SumBy(keyPart), Late: t.Late.SumBy(keyPart), Refused: t.Refused.SumBy(keyPart),
		Unknown: t.Unknown.SumBy(keyPart), PromptTokens: t.PromptTokens.SumBy(keyPart), WastedPrefillTokens: t.WastedPrefillTokens.SumBy(keyPart),
	}
}

// addIncrease adds the increase of one process's counters from earlier to now.
func (t Traffic) addIncrease(now, earlier Metrics) {
	t.Requests.Add(now.Requests.IncreaseSince(earlier.Requests))
	t.Goodput.Add(now.Goodput.IncreaseSince(earlier.Goodput))
	t.Late.Add(now.Late.IncreaseSince(earlier.Late))
	t.Refused.Add(now.RefusedNotRun.IncreaseSince(earlier.RefusedNotRun))
	t.Unknown.Add(now.OutcomeUnknown.IncreaseSince(earlier.OutcomeUnknown))
	t.PromptTokens.Add(now.PromptTokens.IncreaseSince(earlier.PromptTokens))
	t.WastedPrefillTokens.Add(now.WastedPrefillTokens.IncreaseSince(earlier.WastedPrefillTokens))
}

// Reading holds the metrics of one process, or the error of reading them.
type Reading struct {
	URL     string  `json:"url"`
	Metrics Metrics `json:"vars"`
	Error   string  `json:"error,omitempty"`
}

// TrafficIncrease sums, over all processes, the increase of the counters from
// earlier to now. Readings are matched by URL: a process without an earlier reading
// counts from 0, and one that could not be read now is left out.
func TrafficIncrease(now, earlier []Reading) Traffic {
	before := make(map[string]Metrics)
	for _, r := range earlier {
		before[r.URL] = r.Metrics
	}
	sum := newTraffic()
	for _, r := range now {
		if r.Error == "" {
			sum.addIncrease(r.Metrics, before[r.URL])
		}
	}
	return sum
}

// Fetch reads the metrics of all processes concurrently, at most 16 at a time. The
// result is in the order of urls.
func Fetch(ctx context.Context, urls []string) []Reading {
	out := make([]Reading, len(urls))
	var group errgroup.Group
	group.SetLimit(16)
	for i, url := range urls {
		group.Go(func() error {
			out[i] = fetch(ctx, url)
			return nil
		})
	}
	group.Wait() // fetch reports errors in its result
	return out
}

// fetch reads the metrics of the process whose admin address is url.
func fetch(ctx context.Context, url string) Reading {
	r := Reading{URL: url}
	if err := ctx.Err(); err != nil {
		r.Error = err.Error()
		return r
	}
	body, err := Get(strings.TrimRight(url, "/")+"/debug/vars", fetchTimeout)
	if err == nil {
		err = json.Unmarshal(body, &r.Metrics)
	}
	if err != nil {
		r.Error = fmt.Sprintf("read %s: %v", url, err)
	}
	return r
}

// Get sends a GET request to url and returns the body of the response. A status
// other than 200 is an error.
func Get(url string, timeout time.Duration) ([]byte, error) {
	client := &fasthttp.Client{MaxResponseBodySize: maxBodyBytes, MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	status, body, err := client.GetTimeout(nil, url, timeout)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("unexpected HTTP status %d", status)
	}
	return body, nil
}
