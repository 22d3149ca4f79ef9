// Package vars reads the metrics that cassiaramp processes publish with expvar
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

// fetchTimeout bounds one read of /debug/vars.
const fetchTimeout = 2 * time.Second

// maxBody bounds the document read. expvar's memstats alone take about 6 KB; the
// ledger of a stand-in has about 250 bytes for each request.
const maxBody = 64 << 20

// Vars is what one process publishes. Counters have the key "policy/tier".
type Vars struct {
	Process             Process            `json:"process"`
	BundleVersion       uint64             `json:"bundle_version"`
	Goodput             Counter            `json:"goodput"`
	Requests            Counter            `json:"requests"`
	RefusedNotRun       Counter            `json:"refused_not_run"`
	OutcomeUnknown      Counter            `json:"outcome_unknown"`
	Late                Counter            `json:"late"`
	WastedPrefillTokens Counter            `json:"wasted_prefill_tokens"`
	PromptTokens        Counter            `json:"prompt_tokens"`
	Queue               Counter            `json:"queue"`   // queued requests by tier
	Figures             *state.LoadFigures `json:"figures"` // side processes only
	InvariantViolations Counter            `json:"invariant_violations"`
	Targets             map[string]Target  `json:"targets"`
}

// Process identifies a process.
type Process struct {
	Instance string `json:"instance"`
	Role     string `json:"role"`
}

// QueuedByTier returns Queue or, for a side process that publishes only its
// load figures, the counts in them by the number of the tier.
func (v *Vars) QueuedByTier() Counter {
	if v.Queue != nil || v.Figures == nil {
		return v.Queue
	}
	out := make(Counter)
	for tier, n := range v.Figures.QueuedCount {
		if n > 0 {
			out[strconv.Itoa(tier)] = int64(n)
		}
	}
	return out
}

// Target is an entry's view of a target.
type Target struct {
	Service     string `json:"service"`
	Connected   bool   `json:"connected"`
	Leaving     bool   `json:"leaving"`
	Ejected     bool   `json:"ejected"`
	Outstanding int    `json:"outstanding"`
}

// Counter maps a key to a count.
type Counter map[string]int64

// Total returns the sum over all keys.
func (c Counter) Total() int64 {
	sum := int64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}

// Add adds other to c, which must not be nil.
func (c Counter) Add(other Counter) {
	for k, n := range other {
		c[k] += n
	}
}

// Since returns the growth from earlier to c. A counter below its earlier value
// belongs to a restarted process and counts from 0.
func (c Counter) Since(earlier Counter) Counter {
	out := make(Counter, len(c))
	for k, n := range c {
		if before := earlier[k]; before <= n {
			n -= before
		}
		out[k] = n
	}
	return out
}

// By sums the counter over one part of its "policy/tier" keys.
func (c Counter) By(part func(policy, tier string) string) Counter {
	out := make(Counter)
	for k, n := range c {
		policy, tier := SplitKey(k)
		out[part(policy, tier)] += n
	}
	return out
}

// Policy and Tier are arguments of By.
func Policy(policy, _ string) string { return policy }

// Tier selects the tier of a key.
func Tier(_, tier string) string { return tier }

// SplitKey separates "policy/tier". A key without a slash is a policy.
func SplitKey(key string) (policy, tier string) {
	if i := strings.LastIndexByte(key, '/'); i >= 0 {
		return key[:i], key[i+1:]
	}
	return key, ""
}

// Keys returns the keys that occur in any of the counters, in order.
func Keys(counters ...Counter) []string {
	all := make(map[string]bool)
	for _, c := range counters {
		for k := range c {
			all[k] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Traffic holds the counters of requests, summed over processes.
type Traffic struct {
	Requests     Counter `json:"requests"`
	Goodput      Counter `json:"goodput"`
	Late         Counter `json:"late"`
	Refused      Counter `json:"refused_not_run"`
	Unknown      Counter `json:"outcome_unknown"`
	PromptTokens Counter `json:"prompt_tokens"`
	Wasted       Counter `json:"wasted_prefill_tokens"`
}

// newTraffic returns counters without keys.
func newTraffic() Traffic {
	return Traffic{
		Requests: Counter{}, Goodput: Counter{}, Late: Counter{}, Refused: Counter{},
		Unknown: Counter{}, PromptTokens: Counter{}, Wasted: Counter{},
	}
}

// By sums all counters over one part of their keys.
func (t Traffic) By(part func(policy, tier string) string) Traffic {
	return Traffic{
		Requests: t.Requests.By(part), Goodput: t.Goodput.By(part), Late: t.Late.By(part), Refused: t.Refused.By(part),
		Unknown: t.Unknown.By(part), PromptTokens: t.PromptTokens.By(part), Wasted: t.Wasted.By(part),
	}
}

// add adds the growth of one process.
func (t Traffic) add(v, earlier Vars) {
	t.Requests.Add(v.Requests.Since(earlier.Requests))
	t.Goodput.Add(v.Goodput.Since(earlier.Goodput))
	t.Late.Add(v.Late.Since(earlier.Late))
	t.Refused.Add(v.RefusedNotRun.Since(earlier.RefusedNotRun))
	t.Unknown.Add(v.OutcomeUnknown.Since(earlier.OutcomeUnknown))
	t.PromptTokens.Add(v.PromptTokens.Since(earlier.PromptTokens))
	t.Wasted.Add(v.WastedPrefillTokens.Since(earlier.WastedPrefillTokens))
}

// Reading is one process's metrics, or the error of reading them.
type Reading struct {
	URL   string `json:"url"`
	Vars  Vars   `json:"vars"`
	Error string `json:"error,omitempty"`
}

// Growth sums the growth of the counters from earlier to now, matched by URL.
// Processes that could not be read now are left out.
func Growth(now, earlier []Reading) Traffic {
	before := make(map[string]Vars)
	for _, r := range earlier {
		before[r.URL] = r.Vars
	}
	sum := newTraffic()
	for _, r := range now {
		if r.Error == "" {
			sum.add(r.Vars, before[r.URL])
		}
	}
	return sum
}

// Fetch reads all admin addresses at once, at most 16 at a time. The result has
// the order of urls.
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
	group.Wait() // the functions return no errors
	return out
}

func fetch(ctx context.Context, url string) Reading {
	r := Reading{URL: url}
	if err := ctx.Err(); err != nil {
		r.Error = err.Error()
		return r
	}
	body, err := Get(strings.TrimRight(url, "/")+"/debug/vars", fetchTimeout)
	if err == nil {
		err = json.Unmarshal(body, &r.Vars)
	}
	if err != nil {
		r.Error = fmt.Sprintf("read %s: %v", url, err)
	}
	return r
}

// Get returns the body of a response with status 200.
func Get(url string, timeout time.Duration) ([]byte, error) {
	client := &fasthttp.Client{MaxResponseBodySize: maxBody, MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	status, body, err := client.GetTimeout(nil, url, timeout)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("status %d", status)
	}
	return body, nil
}
