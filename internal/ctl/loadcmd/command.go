// Package loadcmd implements "cassiarampctl load": an open-loop load generator
// that verifies every response.
//
// Arrivals follow a seeded Poisson process with bursts and never wait for
// responses. Requests that would exceed the bound on open requests are counted
// as skipped.
package loadcmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/ctl/vars"
	"github.com/cassiaramp/cassiaramp/internal/standin"
)

// ErrGuaranteeBroken reports that responses or the ledger contradict a guarantee.
var ErrGuaranteeBroken = errors.New("a guarantee was broken")

const (
	// progressInterval is the time between progress lines.
	progressInterval = 5 * time.Second
	// responseGrace is the time after its timeout within which a request must have
	// ended. After that, the response counts as lost.
	responseGrace = 10 * time.Second
	// ledgerTimeout bounds the reading of the stand-in's ledger.
	ledgerTimeout = 10 * time.Second
)

// Command holds the arguments of "cassiarampctl load".
type Command struct {
	Entry         []string      `arg:"--entry,separate,required" help:"base URL of an entry; repeatable"`
	Duration      time.Duration `arg:"--duration" default:"30s" help:"how long to send"`
	Rate          float64       `arg:"--rate" default:"20" help:"mean requests per second"`
	Seed          uint64        `arg:"--seed" default:"1" help:"seed of arrivals and contents"`
	ContentSeed   uint64        `arg:"--content-seed" help:"changes the contents only, so that runs with equal arrivals and lengths share no cached prompt"`
	CustomerKey   []string      `arg:"--customer-key,separate" help:"bearer key of a customer, the first sends most; repeatable"`
	Tier          []string      `arg:"--tier,separate" help:"tier to ask for, as NAME or NAME=TIMEOUT; repeatable; none for the default tier"`
	Model         string        `arg:"--model" help:"model to send chats and completions to"`
	Service       string        `arg:"--service" help:"plain service to call"`
	Timeout       time.Duration `arg:"--timeout" default:"30s" help:"deadline of each request whose tier names none"`
	PromptTokens  int           `arg:"--prompt-tokens" default:"200" help:"median prompt length; the longest is 100 times that"`
	OutputTokens  int           `arg:"--output-tokens" default:"48" help:"median output length; the longest is 100 times that"`
	MaxOpen       int           `arg:"--max-open" default:"1000" help:"open requests at most; further arrivals are skipped"`
	Ledger        string        `arg:"--ledger" help:"admin URL of the stand-in that runs the targets: check its ledger and the generated text"`
	Admin         []string      `arg:"--admin,separate" help:"admin URL of an entry, for wasted prefill; repeatable"`
	EntryFailures bool          `arg:"--entry-failures" help:"entries are being stopped: do not count broken connections as lost or cut responses"`
	JSON          bool          `arg:"--json" help:"print one JSON document at the end"`
}

// Description is shown by --help.
func (*Command) Description() string {
	return "Send an open-loop load to entries and verify every response."
}

// Epilogue is shown by --help.
func (*Command) Epilogue() string {
	return "Example: cassiarampctl load --entry http://127.0.0.1:8080 --customer-key k1 --model m1 --rate 50 --duration 1m\n" +
		"The exit status is not 0 when a response was lost, doubled, cut, or falsely reported as not run."
}

// validate returns an error if the arguments are not valid.
func (c *Command) validate() error {
	switch {
	case len(c.Entry) == 0:
		return errors.New("--entry: at least one is required")
	case c.Model == "" && c.Service == "":
		return errors.New("--model, --service or both are required")
	case !(c.Rate > 0) || c.Rate > maxRate:
		return fmt.Errorf("--rate is %g, but must be more than 0 and at most %g", c.Rate, float64(maxRate))
	case c.Duration <= 0 || c.Timeout <= 0:
		return errors.New("--duration and --timeout must be more than 0")
	case c.PromptTokens < 1 || c.OutputTokens < 1 || c.MaxOpen < 1:
		return errors.New("--prompt-tokens, --output-tokens and --max-open must be at least 1")
	}
	_, err := c.parseTiers()
	return err
}

// tierTimeout is a tier that requests ask for, and their deadline.
type tierTimeout struct {
	name    string
	timeout time.Duration
}

// parseTiers parses --tier.
func (c *Command) parseTiers() ([]tierTimeout, error) {
	var out []tierTimeout
	for _, arg := range c.Tier {
		name, value, hasTimeout := strings.Cut(arg, "=")
		t := tierTimeout{name: name, timeout: c.Timeout}
		if hasTimeout {
			d, err := time.ParseDuration(value)
			if err != nil || d <= 0 {
				return nil, fmt.Errorf("--tier is %q, but must be NAME or NAME=TIMEOUT with a timeout such as 5s", arg)
			}
			t.timeout = d
		}
		out = append(out, t)
	}
	return out, nil
}

// Run sends the load and prints the report. Its error wraps ErrGuaranteeBroken
// when a guarantee was broken.
func (c *Command) Run(ctx context.Context, out io.Writer) error {
	if err := c.validate(); err != nil {
		return err
	}
	g := &generator{
		cmd:    c,
		sender: newSender(c),
		tally:  newTally(c.Duration),
		nonce:  strconv.FormatInt(time.Now().UnixNano(), 36),
	}
	before := vars.Fetch(ctx, c.Admin)
	started := time.Now()
	g.run(ctx, c.progressOutput(out))
	report := g.tally.report(time.Since(started))
	if c.Ledger != "" {
		if err := g.checkLedger(report); err != nil {
			return err
		}
	}
	report.addEntryCounts(vars.TrafficIncrease(vars.Fetch(ctx, c.Admin), before))
	if err := c.print(out, report); err != nil {
		return err
	}
	if n := len(report.Violations); n > 0 {
		return fmt.Errorf("%w: %d violations", ErrGuaranteeBroken, n)
	}
	return nil
}

// progressOutput returns where progress lines go: with --json they are discarded.
func (c *Command) progressOutput(out io.Writer) io.Writer {
	if c.JSON {
		return io.Discard
	}
	return out
}

// print prints the report as tables or, with --json, as JSON.
func (c *Command) print(out io.Writer, r *Report) error {
	if !c.JSON {
		return r.print(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// generator sends the requests of one load and collects their results.
type generator struct {
	cmd    *Command
	sender *sender
	tally  *tally
	nonce  string // part of all request ids; distinguishes those of this run from other runs

	mu        sync.Mutex
	exchanges []*exchange // finished ones, kept for the comparison with the ledger
}

// run sends the requests at their arrival times and waits for all responses.
func (g *generator) run(ctx context.Context, progress io.Writer) {
	arrivals := newPlan(g.cmd)
	started := time.Now()
	nextProgress := started.Add(progressInterval)
	openSlots := make(chan struct{}, g.cmd.MaxOpen)
	var group sync.WaitGroup
	for {
		s := arrivals.next()
		if s.arrival > g.cmd.Duration || !sleepUntil(ctx, started.Add(s.arrival)) {
			break
		}
		if time.Now().After(nextProgress) {
			nextProgress = nextProgress.Add(progressInterval)
			g.tally.printProgress(progress, time.Since(started), len(openSlots))
		}
		select {
		case openSlots <- struct{}{}:
		default:
			g.tally.addSkipped()
			continue
		}
		s.id = fmt.Sprintf("load-%s-%d", g.nonce, s.number)
		group.Go(func() {
			defer func() { <-openSlots }()
			g.runRequest(s)
		})
	}
	group.Wait()
	g.tally.printProgress(progress, time.Since(started), 0)
}

// runRequest sends one request, waits for its responses and counts them.
func (g *generator) runRequest(s *requestSpec) {
	e := g.sender.perform(s)
	g.tally.add(e, g.cmd.EntryFailures)
	for _, r := range e.results {
		// Comparing with the ledger needs only the outcomes. Keeping the texts would let
		// memory grow with the length of the run.
		r.content, r.tokenGaps, r.expectedText = nil, nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchanges = append(g.exchanges, e)
}

// sleepUntil waits until the given time. It returns false if ctx ended before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// checkLedger reads the ledger of the stand-in and compares the outcomes that the
// entries reported with what ran.
func (g *generator) checkLedger(r *Report) error {
	body, err := vars.Get(strings.TrimRight(g.cmd.Ledger, "/")+"/admin/ledger", ledgerTimeout)
	if err != nil {
		return fmt.Errorf("read ledger at %s: %w", g.cmd.Ledger, err)
	}
	var l standin.Ledger
	if err := json.Unmarshal(body, &l); err != nil {
		return fmt.Errorf("read ledger at %s: %w", g.cmd.Ledger, err)
	}
	if l.Targets == nil {
		return fmt.Errorf("read ledger at %s: it has no \"targets\"", g.cmd.Ledger)
	}
	users := l.Users() // the ledger identifies a request by its "user" field or its X-Load-Id header
	for _, e := range g.exchanges {
		e.checkRuns(users[e.spec.id].Started, r)
	}
	r.LedgerChecked = true
	return nil
}

// checkRuns compares the results of one request with the number of times it ran and
// adds violations to r.
func (e *exchange) checkRuns(runs int, r *Report) {
	switch {
	case runs > 1 && !e.spec.idempotent:
		r.addViolation(violationDoubled, e.spec.id, "a non-idempotent request ran %d times", runs)
	case runs > 0 && e.reportedNotRun():
		r.addViolation(violationFalseNotRun, e.spec.id, "reported as not run, but ran %d times", runs)
	}
}
