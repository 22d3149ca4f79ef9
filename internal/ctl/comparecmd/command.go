// Package comparecmd implements "cassiarampctl compare", which compares two policies
// by the traffic that the split sent to each of them.
package comparecmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/ctl/vars"
)

// ErrNoTraffic reports that a policy received no requests.
var ErrNoTraffic = errors.New("no traffic to compare")

// Command holds the arguments of "cassiarampctl compare".
type Command struct {
	Policies []string `arg:"positional,required" placeholder:"POLICY" help:"the two policies"`
	vars.ProcessFlags
	Duration time.Duration `arg:"--duration" default:"0s" help:"compare the traffic of this time; 0 for all since the entries started"`
	JSON     bool          `arg:"--json" help:"print one JSON document"`
}

// Description is shown by --help.
func (*Command) Description() string {
	return "Compare goodput by tier and wasted prefill of two policies that share the traffic."
}

// Epilogue is shown by --help.
func (*Command) Epilogue() string {
	return "Example: cassiarampctl compare cost prefix-affinity --admin http://127.0.0.1:9090 --duration 1m"
}

// Comparison is the result for two policies. Arrays have the order of Policies.
type Comparison struct {
	Policies            [2]string `json:"policies"`
	Rows                []Row     `json:"rows"`
	PromptTokens        [2]int64  `json:"prompt_tokens"`
	WastedPrefillTokens [2]int64  `json:"wasted_prefill_tokens"`
}

// Row compares one tier, or all tiers together if Tier is AllTiers. Goodput is the
// share (0 to 1) of the requests that ended in time.
type Row struct {
	Tier     string     `json:"tier"`
	Requests [2]int64   `json:"requests"`
	Goodput  [2]float64 `json:"goodput"`
}

// AllTiers is the Tier of the row that sums all tiers.
const AllTiers = "all"

// Run prints the comparison. Its error wraps ErrNoTraffic when one of the
// policies has received no requests.
func (c *Command) Run(ctx context.Context, out io.Writer) error {
	if len(c.Policies) != 2 || c.Policies[0] == c.Policies[1] {
		return errors.New("two different policies are required")
	}
	urls, err := c.AdminURLs(ctx)
	if err != nil {
		return err
	}
	traffic, err := c.readTraffic(ctx, urls)
	if err != nil {
		return err
	}
	comparison := compare([2]string(c.Policies), traffic)
	for i, n := range comparison.Rows[len(comparison.Rows)-1].Requests {
		if n == 0 {
			return fmt.Errorf("%w: policy %s received no requests", ErrNoTraffic, c.Policies[i])
		}
	}
	return c.print(out, comparison)
}

// readTraffic reads the counters of all entries: their increase over Duration or, if
// that is 0, since the entries started. Every entry must answer, because a missing
// one would bias the comparison.
func (c *Command) readTraffic(ctx context.Context, urls []string) (vars.Traffic, error) {
	var earlier []vars.Reading
	if c.Duration > 0 {
		earlier = vars.Fetch(ctx, urls)
		if err := firstError(earlier); err != nil {
			return vars.Traffic{}, err
		}
		select {
		case <-time.After(c.Duration):
		case <-ctx.Done():
			return vars.Traffic{}, ctx.Err()
		}
	}
	now := vars.Fetch(ctx, urls)
	return vars.TrafficIncrease(now, earlier), firstError(now)
}

// firstError returns the error of the first reading that failed, or nil.
func firstError(readings []vars.Reading) error {
	for _, r := range readings {
		if r.Error != "" {
			return errors.New(r.Error)
		}
	}
	return nil
}

// compare compares the traffic of two policies. The last row sums all tiers.
func compare(policies [2]string, t vars.Traffic) *Comparison {
	c := &Comparison{Policies: policies}
	requests, goodput := [2]vars.Counts{}, [2]vars.Counts{}
	byPolicy := t.SumBy(vars.Policy)
	for i, policy := range policies {
		requests[i], goodput[i] = countsByTier(t.Requests, policy), countsByTier(t.Goodput, policy)
		c.PromptTokens[i], c.WastedPrefillTokens[i] = byPolicy.PromptTokens[policy], byPolicy.WastedPrefillTokens[policy]
	}
	for _, tier := range vars.SortedKeys(requests[0], requests[1]) {
		c.Rows = append(c.Rows, newRow(tier, requests[0][tier], requests[1][tier], goodput[0][tier], goodput[1][tier]))
	}
	all := newRow(AllTiers, requests[0].Total(), requests[1].Total(), goodput[0].Total(), goodput[1].Total())
	c.Rows = append(c.Rows, all)
	return c
}

// countsByTier returns the counts of one policy by tier.
func countsByTier(c vars.Counts, policy string) vars.Counts {
	out := make(vars.Counts)
	for k, n := range c {
		if p, tier := vars.SplitKey(k); p == policy {
			out[tier] += n
		}
	}
	return out
}

func newRow(tier string, requestsA, requestsB, goodputA, goodputB int64) Row {
	return Row{
		Tier: tier, Requests: [2]int64{requestsA, requestsB},
		Goodput: [2]float64{share(goodputA, requestsA), share(goodputB, requestsB)},
	}
}

// share returns part divided by whole; a whole of 0 counts as 1.
func share(part, whole int64) float64 {
	return float64(part) / float64(max(1, whole))
}

func (c *Command) print(out io.Writer, v *Comparison) error {
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "\t%s\t%s\tdifference\t\n", v.Policies[0], v.Policies[1])
	for _, r := range v.Rows {
		fmt.Fprintf(w, "requests, tier %s\t%d\t%d\t\t\n", r.Tier, r.Requests[0], r.Requests[1])
		if r.Requests[0] == 0 || r.Requests[1] == 0 {
			continue // the share is not defined without requests
		}
		fmt.Fprintf(w, "goodput, tier %s\t%.1f%%\t%.1f%%\t%+.1f\t\n", r.Tier, 100*r.Goodput[0], 100*r.Goodput[1], 100*(r.Goodput[1]-r.Goodput[0]))
	}
	wasted := [2]float64{share(v.WastedPrefillTokens[0], v.PromptTokens[0]), share(v.WastedPrefillTokens[1], v.PromptTokens[1])}
	fmt.Fprintf(w, "prompt tokens\t%d\t%d\t\t\n", v.PromptTokens[0], v.PromptTokens[1])
	fmt.Fprintf(w, "wasted prefill\t%.1f%%\t%.1f%%\t%+.1f\t\n", 100*wasted[0], 100*wasted[1], 100*(wasted[1]-wasted[0]))
	return w.Flush()
}
