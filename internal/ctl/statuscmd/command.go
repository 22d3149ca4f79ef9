// Package statuscmd implements "cassiarampctl status": instances, targets,
// queues and the accepted bundle version of every process.
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

// ErrUnhealthy tells that a process could not be read, that a guarantee was
// violated, or that processes have different bundles in effect.
var ErrUnhealthy = errors.New("not everything is in order")

// Command holds the arguments of "cassiarampctl status".
type Command struct {
	vars.Processes
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

// Status is the state of all processes asked.
type Status struct {
	Instances []Instance        `json:"instances"`
	Targets   map[string]Target `json:"targets"` // by name, from the entries
	Queue     vars.Counter      `json:"queue"`   // by tier, summed
	// BundleVersion is the version in effect everywhere; 0 when versions differ.
	BundleVersion uint64   `json:"bundle_version"`
	Problems      []string `json:"problems"`
}

// Instance is one process.
type Instance struct {
	Name          string       `json:"name"`
	Role          string       `json:"role"`
	URL           string       `json:"url"`
	BundleVersion uint64       `json:"bundle_version"`
	Queue         vars.Counter `json:"queue"`
	Violations    int64        `json:"invariant_violations"`
	Error         string       `json:"error,omitempty"`
}

// Target merges the entries' views of one target.
type Target struct {
	Service   string `json:"service"`
	Connected int    `json:"connected"` // entries with a session to it
	Ejected   int    `json:"ejected"`   // entries that have ejected it
	Leaving   bool   `json:"leaving"`   // as seen by any entry
}

// Run prints the status. Its error wraps ErrUnhealthy when there are problems.
func (c *Command) Run(ctx context.Context, out io.Writer) error {
	urls, err := c.URLs(ctx)
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

func summarise(readings []vars.Reading) *Status {
	s := &Status{Targets: make(map[string]Target), Queue: vars.Counter{}, Problems: []string{}}
	versions := make(map[uint64]bool)
	for _, r := range readings {
		s.add(r)
		if r.Error == "" {
			versions[r.Vars.BundleVersion] = true
			s.BundleVersion = r.Vars.BundleVersion
		}
	}
	if len(versions) > 1 {
		s.BundleVersion = 0
		s.Problems = append(s.Problems, fmt.Sprintf("bundle versions differ: %v", slices.Sorted(maps.Keys(versions))))
	}
	return s
}

func (s *Status) add(r vars.Reading) {
	i := Instance{
		Name: r.Vars.Process.Instance, Role: r.Vars.Process.Role, URL: r.URL, BundleVersion: r.Vars.BundleVersion,
		Queue: r.Vars.QueuedByTier(), Violations: r.Vars.InvariantViolations.Total(), Error: r.Error,
	}
	s.Instances = append(s.Instances, i)
	if r.Error != "" {
		s.Problems = append(s.Problems, r.Error)
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.Vars.InvariantViolations)) {
		if n := r.Vars.InvariantViolations[name]; n > 0 {
			s.Problems = append(s.Problems, fmt.Sprintf("%s: invariant %s violated %d times", r.URL, name, n))
		}
	}
	s.Queue.Add(i.Queue)
	for name, seen := range r.Vars.Targets {
		t := s.Targets[name]
		t.Service = seen.Service
		t.Leaving = t.Leaving || seen.Leaving
		if seen.Connected {
			t.Connected++
		}
		if seen.Ejected {
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\n", i.Name, i.Role, i.URL, i.BundleVersion, queue(i.Queue), i.Violations)
	}
	fmt.Fprintf(w, "\ntarget\tservice\tsessions\tejected by\tleaving\n")
	for _, name := range slices.Sorted(maps.Keys(s.Targets)) {
		t := s.Targets[name]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%t\n", name, t.Service, t.Connected, t.Ejected, t.Leaving)
	}
	fmt.Fprintf(w, "\nqueued by tier: %s\n", queue(s.Queue))
	for _, problem := range s.Problems {
		fmt.Fprintf(w, "problem: %s\n", problem)
	}
	return w.Flush()
}

// queue returns "tier=count" pairs in the order of the tiers.
func queue(c vars.Counter) string {
	if len(c) == 0 {
		return "-"
	}
	var parts []string
	for _, tier := range vars.Keys(c) {
		parts = append(parts, fmt.Sprintf("%s=%d", tier, c[tier]))
	}
	return strings.Join(parts, " ")
}
