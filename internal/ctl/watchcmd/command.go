// Package watchcmd implements "cassiarampctl watch": goodput by tier and wasted
// prefill by policy, refreshed each second.
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
	vars.Processes
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

// Refresh is what one refresh shows: the growth since the one before.
type Refresh struct {
	Seconds  float64      `json:"seconds"` // time since the refresh before
	ByTier   vars.Traffic `json:"by_tier"`
	ByPolicy vars.Traffic `json:"by_policy"`
	Errors   []string     `json:"errors,omitempty"` // processes that could not be read
}

// Run refreshes until ctx ends or Count is reached. A process that cannot be
// read is reported and does not end the command.
func (c *Command) Run(ctx context.Context, out io.Writer) error {
	urls, err := c.URLs(ctx)
	if err != nil {
		return err
	}
	if c.Interval <= 0 {
		return errors.New("--interval: want more than 0")
	}
	ticker := time.NewTicker(c.Interval)
	defer ticker.Stop()
	earlier, at := vars.Fetch(ctx, urls), time.Now()
	for n := 0; c.Count == 0 || n < c.Count; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now, read := vars.Fetch(ctx, urls), time.Now()
		if err := c.show(out, refresh(now, earlier, read.Sub(at))); err != nil {
			return err
		}
		earlier, at = keep(now, earlier), read
	}
	return nil
}

func refresh(now, earlier []vars.Reading, elapsed time.Duration) Refresh {
	growth := vars.Growth(now, earlier)
	r := Refresh{Seconds: elapsed.Seconds(), ByTier: growth.By(vars.Tier), ByPolicy: growth.By(vars.Policy)}
	for _, reading := range now {
		if reading.Error != "" {
			r.Errors = append(r.Errors, reading.Error)
		}
	}
	return r
}

// keep returns now with failed readings replaced by the earlier ones, so that
// the counters of a process that was unreachable for a while are not taken as
// growth from 0.
func keep(now, earlier []vars.Reading) []vars.Reading {
	out := make([]vars.Reading, len(now))
	for i, r := range now {
		out[i] = r
		if r.Error != "" {
			out[i] = earlier[i]
		}
	}
	return out
}

func (c *Command) show(out io.Writer, r Refresh) error {
	if c.JSON {
		return json.NewEncoder(out).Encode(r)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\ttier\trequests/s\tgoodput/s\tlate/s\trefused/s\tunknown/s\t\n", time.Now().Format(time.TimeOnly))
	t := r.ByTier
	for _, tier := range vars.Keys(t.Requests, t.Goodput, t.Late, t.Refused, t.Unknown) {
		fmt.Fprintf(w, "\t%s", tier)
		for _, counter := range []vars.Counter{t.Requests, t.Goodput, t.Late, t.Refused, t.Unknown} {
			fmt.Fprintf(w, "\t%.1f", float64(counter[tier])/r.Seconds)
		}
		fmt.Fprintf(w, "\t\n")
	}
	fmt.Fprintf(w, "\tpolicy\tprompt tokens/s\twasted/s\twasted\t\n")
	p := r.ByPolicy
	for _, policy := range vars.Keys(p.PromptTokens, p.Wasted) {
		prompt, wasted := float64(p.PromptTokens[policy]), float64(p.Wasted[policy])
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
