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

// ErrGuaranteeBroken tells that responses or the ledger contradict a guarantee.
var ErrGuaranteeBroken = errors.New("a guarantee was broken")

const (
	// progressInterval is the time between progress lines.
	progressInterval = 5 * time.Second
	// grace is the time after its timeout by which a request must have ended.
	// Later, the response counts as lost.
	grace = 10 * time.Second
	// ledgerTimeout bounds the read of the stand-in's ledger.
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

func (c *Command) check() error {
	switch {
	case len(c.Entry) == 0:
		return errors.New("--entry: want at least one")
	case c.Model == "" && c.Service == "":
		return errors.New("want --model, --service or both")
	case !(c.Rate > 0) || c.Rate > maxRate:
		return fmt.Errorf("--rate: %g, want more than 0 and at most %g", c.Rate, float64(maxRate))
	case c.Duration <= 0 || c.Timeout <= 0:
		return errors.New("--duration and --timeout: want more than 0")
	case c.PromptTokens < 1 || c.OutputTokens < 1 || c.MaxOpen < 1:
		return errors.New("--prompt-tokens, --output-tokens and --max-open: want at least 1")
	}
	_, err := c.tiers()
	return err
}

// tierTimeout is a tier to ask for and the deadline of its requests.
type tierTimeout struct {
	name    string
	timeout time.Duration
}

// tiers parses --tier.
func (c *Command) tiers() ([]tierTimeout, error) {
	var out []tierTimeout
	for _, arg := range c.Tier {
		name, value, given := strings.Cut(arg, "=")
		t := tierTimeout{name: name, timeout: c.Timeout}
		if given {
			d, err := time.ParseDuration(value)
			if err != nil || d <= 0 {
				return nil, fmt.Errorf("--tier: %q, want NAME or NAME=TIMEOUT with a timeout such as 5s", arg)
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
	if err := c.check(); err != nil {
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
	g.run(ctx, c.progress(out))
	report := g.tally.report(time.Since(started))
	if c.Ledger != "" {
		if err := g.checkLedger(report); err != nil {
			return err
		}
	}
	report.addTraffic(vars.TrafficIncrease(vars.Fetch(ctx, c.Admin), before))
	if err := c.print(out, report); err != nil {
		return err
	}
	if n := len(report.Violations); n > 0 {
		return fmt.Errorf("%w: %d violations", ErrGuaranteeBroken, n)
	}
	return nil
}

func (c *Command) progress(out io.Writer) io.Writer {
	if c.JSON {
		return io.Discard
	}
	return out
}

func (c *Command) print(out io.Writer, r *Report) error {
	if !c.JSON {
		return r.print(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// generator sends one load.
type generator struct {
	cmd    *Command
	sender *sender
	tally  *tally
	nonce  string // distinguishes the request ids of this run from other runs

	mu    sync.Mutex
	final []*exchange // what the ledger is compared with
}

// run sends all arrivals and waits for the responses.
func (g *generator) run(ctx context.Context, progress io.Writer) {
	arrivals := newPlan(g.cmd)
	started := time.Now()
	next := started.Add(progressInterval)
	open := make(chan struct{}, g.cmd.MaxOpen)
	var group sync.WaitGroup
	for {
		s := arrivals.next()
		if s.at > g.cmd.Duration || !sleepUntil(ctx, started.Add(s.at)) {
			break
		}
		if time.Now().After(next) {
			next = next.Add(progressInterval)
			g.tally.progress(progress, time.Since(started), len(open))
		}
		select {
		case open <- struct{}{}:
		default:
			g.tally.skip()
			continue
		}
		s.id = fmt.Sprintf("load-%s-%d", g.nonce, s.number)
		group.Go(func() {
			defer func() { <-open }()
			g.exchange(s)
		})
	}
	group.Wait()
	g.tally.progress(progress, time.Since(started), 0)
}

// exchange runs one request to its end.
func (g *generator) exchange(s *spec) {
	e := g.sender.exchange(s)
	g.tally.add(e, g.cmd.EntryFailures)
	for _, r := range e.replies {
		// The ledger needs only the outcomes; a long run must not keep prompts.
		r.content, r.gaps, r.expected = nil, nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.final = append(g.final, e)
}

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

// checkLedger compares what callers were told with what ran.
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
		return fmt.Errorf("read ledger at %s: no \"targets\" in it", g.cmd.Ledger)
	}
	users := l.Users() // the id of a request is its "user" or its X-Load-Id
	for _, e := range g.final {
		e.compare(users[e.spec.id].Started, r)
	}
	r.LedgerChecked = true
	return nil
}

// compare checks one exchange against the number of times it ran.
func (e *exchange) compare(runs int, r *Report) {
	switch {
	case runs > 1 && !e.spec.idempotent:
		r.violate(doubled, e.spec.id, "a non-idempotent request ran %d times", runs)
	case runs > 0 && e.allNotRun():
		r.violate(falseNotRun, e.spec.id, "reported as not run, but ran %d times", runs)
	}
}
