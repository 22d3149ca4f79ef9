// Package statuscmd implements "cassiarampctl status", which shows instances, targets,
// queues and the bundle version in effect on every process.
package statuscmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cassiaramp/cassiaramp/internal/ctl/vars"
)

// ErrUnhealthy reports that a process could not be read, that an invariant was
// violated, or that processes have different bundles in effect.
var ErrUnhealthy = errors.New("not everything is in order")

// Command holds the arguments of "cassiarampctl status".
type Command struct {
	vars.ProcessFlags
	JSON bool `arg:"--json" help:"print one JSON document"`
}

// Description is shown by --help.
func (*Command) Description() string {
	return "Show instances, targets, queues by tier and the bundle version in effect everywhere."
}

// Epilogue is shown by --help.
func (*Command) Epilogue() string {
	return "Example: cassiarampctl status --admin http://127.0.0.1:9090 --admin http://127.0.0.1:9091\n" +
		"The exit status is not 0 when a process cannot be read, bundle versions differ or an invariant was violated."
}

// Status is the state of all processes that were read.
type Status struct {
	Instances []Instance        `json:"instances"`
	Targets   map[string]Target `json:"targets"` // by name, as the entries see them
	Queue     vars.Counts       `json:"queue"`   // queued requests by tier, summed over all processes
	// BundleVersion is the version in effect on all processes that could be read; 0
	// when their versions differ.
	BundleVersion uint64   `json:"bundle_version"`
	Problems      []string `json:"problems"`
}

// Instance is the state of one process.
type Instance struct {
	Name          string      `json:"name"`
	Role          string      `json:"role"`
	URL           string      `json:"url"`
	BundleVersion uint64      `json:"bundle_version"`
	Queue         vars.Counts `json:"queue"`
	Violations    int64       `json:"invariant_violations"`
	Error         string      `json:"error,omitempty"`
}

// Target merges the views that the entries have of one target.
type Target struct {
	Service   string `json:"service"`
	Connected int    `json:"connected"` // number of entries with a session to the target
	Ejected   int    `json:"ejected"`   // number of entries that have ejected the target
	Leaving   bool   `json:"leaving"`   // some entry sees the target as leaving
}

// Run prints the status. Its error wraps ErrUnhealthy when there are problems.
func (c *Command) Run(ctx context.Context, out io.Writer) error {
	urls, err := c.AdminURLs(ctx)
	if err != nil {
		return err
	}
	s := summarise(vars.Fetch(ctx, urls))
	if err := c.print(out, s); err != nil {
		return err
	}
	if n := len(s.Problems); n > 0 {
		return fmt.Errorf("%w: %s", ErrUnhealthy, strings.Join(s.Problems, "; "))
	}
	return nil
}

// summarise merges the readings of all processes into one status.
func summarise(readings []vars.Reading) *Status {
	s := &Status{Targets: make(map[string]Target), Queue: vars.Counts{}, Problems: []string{}}
	versions := make(map[uint64]bool)
	for _, r := range readings {
		s.addReading(r)
		if r.Error == "" {
			versions[r.Metrics.BundleVersion] = true
			s.BundleVersion = r.Metrics.BundleVersion
		}
	}
	if len(versions) > 1 {
		s.BundleVersion = 0
		s.Problems = append(s.Problems, fmt.Sprintf("bundle versions differ: %v", slices.Sorted(maps.Keys(versions))))
	}
	return s
}

// addReading adds the state and the problems of one process.
func (s *Status) addReading(r vars.Reading) {
	i := Instance{
		Name: r.Metrics.Process.Instance, Role: r.Metrics.Process.Role, URL: r.URL, BundleVersion: r.Metrics.BundleVersion,
		Queue: r.Metrics.QueuedByTier(), Violations: r.Metrics.InvariantViolations.Total(), Error: r.Error,
	}
	s.Instances = append(s.Instances, i)
	if r.Error != "" {
		s.Problems = append(s.Problems, r.Error)
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.Metrics.InvariantViolations)) {
		if n := r.Metrics.InvariantViolations[name]; n > 0 {
			s.Problems = append(s.Problems, fmt.Sprintf("%s: invariant %s violated %d times", r.URL, name, n))
		}
	}
	s.Queue.Add(i.Queue)
	for name, view := range r.Metrics.Targets {
		t := s.Targets[name]
		t.Service = view.Service
		t.Leaving = t.Leaving || view.Leaving
		if view.Connected {
			t.Connected++
		}
		if view.Ejected {
			t.Ejected++
		}
		s.Targets[name] = t
	}
}

func (c *Command) print(out io.Writer, s *Status) error {
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(s)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "instance\trole\tadmin\tbundle\tqueued by tier\tviolations\n")
	for _, i := range s.Instances {
		if i.Error != "" {
			fmt.Fprintf(w, "-\t-\t%s\tunreachable\t-\t-\n", i.URL)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\n", i.Name, i.Role, i.URL, i.BundleVersion, formatQueue(i.Queue), i.Violations)
	}
	fmt.Fprintf(w, "\ntarget\tservice\tsessions\tejected by\tleaving\n")
	for _, name := range slices.Sorted(maps.Keys(s.Targets)) {
		t := s.Targets[name]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%t\n", name, t.Service, t.Connected, t.Ejected, t.Leaving)
	}
	fmt.Fprintf(w, "\nqueued by tier: %s\n", formatQueue(s.Queue))
	for _, problem := range s.Problems {
		fmt.Fprintf(w, "problem: %s\n", problem)
	}
	return w.Flush()
}

// formatQueue returns "tier=count" pairs in the order of the tiers, or "-" if there
// are none.
func formatQueue(c vars.Counts) string {
	if len(c) == 0 {
		return "-"
	}
	var parts []string
	for _, tier := range vars.SortedKeys(c) {
		parts = append(parts, fmt.Sprintf("%s=%d", tier, c[tier]))
	}
	return strings.Join(parts, " ")
}
