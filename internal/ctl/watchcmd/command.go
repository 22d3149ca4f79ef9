// Package watchcmd implements "cassiarampctl watch", which shows goodput by tier and
// wasted prefill by policy, refreshed at an interval.
package watchcmd

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

// Command holds the arguments of "cassiarampctl watch".
type Command struct {
	vars.ProcessFlags
	Count    int           `arg:"--count" default:"0" help:"stop after this many refreshes; 0 for never"`
	Interval time.Duration `arg:"--interval" default:"1s" help:"time between refreshes"`
	JSON     bool          `arg:"--json" help:"print one JSON document a line for each refresh"`
}

// Description is shown by --help.
func (*Command) Description() string {
	return "Show goodput by tier and wasted prefill by policy, refreshed each second."
}

// Epilogue is shown by --help.
func (*Command) Epilogue() string {
	return "Example: cassiarampctl watch --admin http://127.0.0.1:9090 --count 10"
}

// Refresh is the output of one refresh: the increase of the counters since the last
// one.
type Refresh struct {
	Seconds  float64      `json:"seconds"` // time since the last refresh
	ByTier   vars.Traffic `json:"by_tier"`
	ByPolicy vars.Traffic `json:"by_policy"`
	Errors   []string     `json:"errors,omitempty"` // one for each process that could not be read
}

// Run refreshes until ctx ends or Count is reached. A process that cannot be
// read is reported and does not end the command.
func (c *Command) Run(ctx context.Context, out io.Writer) error {
	urls, err := c.AdminURLs(ctx)
	if err != nil {
		return err
	}
	if c.Interval <= 0 {
		return errors.New("--interval must be more than 0")
	}
	ticker := time.NewTicker(c.Interval)
	defer ticker.Stop()
	earlier, earlierTime := vars.Fetch(ctx, urls), time.Now()
	for n := 0; c.Count == 0 || n < c.Count; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now, nowTime := vars.Fetch(ctx, urls), time.Now()
		if err := c.printRefresh(out, newRefresh(now, earlier, nowTime.Sub(earlierTime))); err != nil {
			return err
		}
		earlier, earlierTime = replaceFailed(now, earlier), nowTime
	}
	return nil
}

// newRefresh computes a refresh from two successive readings.
func newRefresh(now, earlier []vars.Reading, elapsed time.Duration) Refresh {
	increase := vars.TrafficIncrease(now, earlier)
	r := Refresh{Seconds: elapsed.Seconds(), ByTier: increase.SumBy(vars.Tier), ByPolicy: increase.SumBy(vars.Policy)}
	for _, reading := range now {
		if reading.Error != "" {
			r.Errors = append(r.Errors, reading.Error)
		}
	}
	return r
}

// replaceFailed returns now with failed readings replaced by the earlier ones.
// Otherwise the counters of a process that was unreachable for a while would count
// from 0 once it is read again.
func replaceFailed(now, earlier []vars.Reading) []vars.Reading {
	out := make([]vars.Reading, len(now))
	for i, r := range now {
		out[i] = r
		if r.Error != "" {
			out[i] = earlier[i]
		}
	}
	return out
}

// printRefresh writes one refresh as tables or, with --json, as one line of JSON.
func (c *Command) printRefresh(out io.Writer, r Refresh) error {
	if c.JSON {
		return json.NewEncoder(out).Encode(r)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\ttier\trequests/s\tgoodput/s\tlate/s\trefused/s\tunknown/s\t\n", time.Now().Format(time.TimeOnly))
	t := r.ByTier
	for _, tier := range vars.SortedKeys(t.Requests, t.Goodput, t.Late, t.Refused, t.Unknown) {
		fmt.Fprintf(w, "\t%s", tier)
		for _, counts := range []vars.Counts{t.Requests, t.Goodput, t.Late, t.Refused, t.Unknown} {
			fmt.Fprintf(w, "\t%.1f", float64(counts[tier])/r.Seconds)
		}
		fmt.Fprintf(w, "\t\n")
	}
	fmt.Fprintf(w, "\tpolicy\tprompt tokens/s\twasted/s\twasted\t\n")
	p := r.ByPolicy
	for _, policy := range vars.SortedKeys(p.PromptTokens, p.WastedPrefillTokens) {
		prompt, wasted := float64(p.PromptTokens[policy]), float64(p.WastedPrefillTokens[policy])
		fmt.Fprintf(w, "\t%s\t%.0f\t%.0f\t%.1f%%\t\n", policy, prompt/r.Seconds, wasted/r.Seconds, 100*wasted/max(1, prompt))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, e := range r.Errors {
		fmt.Fprintln(out, e)
	}
	return nil
}
