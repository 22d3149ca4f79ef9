package bundlecmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const defaultTimeout = 15 * time.Second

// Publish appends a signed bundle to the log.
type Publish struct {
	File       string   `arg:"positional,required" help:"bundle file: JSON with comments"`
	Signatures []string `arg:"--signature,separate,required" placeholder:"FILE" help:"signature file; repeat for each operator"`
	logFlags
	output
}

type publishResult struct {
	Outcome bundle.Outcome `json:"outcome"`
	Bundle  state.BundleID `json:"bundle"`
	Version uint64         `json:"version"`
	Offset  *uint64        `json:"offset,omitempty"`
	Error   string         `json:"error,omitempty"`
}

// Run publishes and reports the outcome.
func (c *Publish) Run(ctx context.Context, out io.Writer) error {
	document, _, err := readDocument(c.File)
	if err != nil {
		return err
	}
	signatures, err := c.readSignatures(bundle.ID(document))
	if err != nil {
		return err
	}
	to, ctx, cancel, err := c.open(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	var p bundle.Published
	if to.register != nil {
		p = bundle.PublishToRegister(ctx, to.register, to.signers, document, signatures)
	} else {
		p = bundle.Publish(ctx, to.log, to.signers, document, signatures)
	}
	result := publishResult{Outcome: p.Outcome, Bundle: p.ID, Version: p.Version}
	if p.Appended {
		result.Offset = &p.Offset
	}
	if p.Err != nil {
		result.Error = p.Err.Error()
	}
	err = c.write(out, result, func(w io.Writer) {
		fmt.Fprintf(w, "%s: version %d, bundle %s\n", p.Outcome, p.Version, p.ID)
	})
	if err != nil {
		return err
	}
	return publishError(p)
}

func (c *Publish) readSignatures(id state.BundleID) ([]state.Signature, error) {
	var list []state.Signature
	for _, path := range c.Signatures {
		var s signatureFile
		if err := readStrict(path, &s); err != nil {
			return nil, err
		}
		if s.Bundle != id {
			err := fmt.Errorf("%s: signs bundle %s, but %s is %s", path, s.Bundle, c.File, id)
			return nil, &ExitError{Code: ExitInvalid, Err: err}
		}
		list = append(list, s.Signature)
	}
	return list, nil
}

func publishError(p bundle.Published) error {
	codes := map[bundle.Outcome]int{
		bundle.OutcomeSuperseded:   ExitSuperseded,
		bundle.OutcomeRefused:      ExitInvalid,
		bundle.OutcomeNotAppended:  ExitFailure,
		bundle.OutcomeUndetermined: ExitUndetermined,
	}
	if p.Outcome == bundle.OutcomeAccepted {
		return nil
	}
	return &ExitError{Code: codes[p.Outcome], Err: fmt.Errorf("publish is %s: %w", p.Outcome, p.Err)}
}

// Status shows the bundle in effect according to the log.
type Status struct {
	logFlags
	output
}

type statusResult struct {
	Version  uint64         `json:"version"`
	Bundle   state.BundleID `json:"bundle"`
	Base     state.BundleID `json:"base"`
	Note     string         `json:"note"`
	Offset   uint64         `json:"accepted_offset"`
	Signers  []string       `json:"signed_by"`
	Required int            `json:"required_signatures"`
	First    uint64         `json:"oldest_retained_offset"`
	End      uint64         `json:"end_offset"`
}

// Run prints the bundle in effect.
func (c *Status) Run(ctx context.Context, out io.Writer) error {
	if c.Store != "" {
		return c.runStore(ctx, out)
	}
	view, err := c.view(ctx)
	if err != nil {
		return err
	}
	head := view.Fold.Head()
	if head == nil {
		return noBundle()
	}
	r := statusOf(head)
	r.First, r.End = view.First, view.Next
	return c.show(out, r)
}

// runStore prints the bundle that the users' platform's store holds.
func (c *Status) runStore(ctx context.Context, out io.Writer) error {
	head, err := c.head(ctx)
	if err != nil {
		return err
	}
	if head == nil {
		return noBundle()
	}
	return c.show(out, statusOf(head))
}

func statusOf(head *bundle.DecodedBundle) statusResult {
	r := statusResult{Version: head.Version, Bundle: head.ID, Base: head.Bundle.Base, Note: head.Bundle.Note,
		Offset: head.Offset, Signers: []string{}, Required: head.Bundle.Signers.Required}
	for _, s := range head.Signatures {
		r.Signers = append(r.Signers, s.Operator)
	}
	return r
}

func (c *Status) show(out io.Writer, r statusResult) error {
	return c.write(out, r, func(w io.Writer) {
		fmt.Fprintf(w, "version %d in effect\n  bundle    %s\n  base      %s\n  accepted  offset %d\n  signed by %s\n  note      %s\n",
			r.Version, r.Bundle, orNone(r.Base), r.Offset, strings.Join(r.Signers, ", "), r.Note)
	})
}

// History lists the retained records of the bundle stream.
type History struct {
	Limit int `arg:"--limit" default:"20" help:"newest records shown; 0 shows all"`
	logFlags
	output
}

type historyRecord struct {
	Offset  uint64         `json:"offset"`
	Time    time.Time      `json:"time"`
	Kind    string         `json:"kind"`
	Version uint64         `json:"version"`
	Bundle  state.BundleID `json:"bundle"`
	Base    state.BundleID `json:"base"`
	Signers []string       `json:"signed_by"`
	Taken   bool           `json:"accepted"`
	Reason  string         `json:"reason,omitempty"`
}

// Run lists the records, the oldest first.
func (c *History) Run(ctx context.Context, out io.Writer) error {
	view, err := c.view(ctx)
	if err != nil {
		return err
	}
	decisions := view.Decisions
	if c.Limit > 0 && len(decisions) > c.Limit {
		decisions = decisions[len(decisions)-c.Limit:]
	}
	records := make([]historyRecord, len(decisions))
	for i, d := range decisions {
		records[i] = historyRecord{Offset: d.Offset, Time: d.Time, Kind: d.Kind.String(), Version: d.Version,
			Bundle: d.ID, Base: d.Base, Signers: append([]string{}, d.Signers...), Taken: d.HeadChanged}
		if d.Err != nil {
			records[i].Reason = d.Err.Error()
		}
	}
	return c.write(out, records, func(w io.Writer) {
		for _, r := range records {
			result := "accepted"
			if !r.Taken {
				result = "ignored: " + r.Reason
			}
			fmt.Fprintf(w, "%d\t%s\t%s\tversion %d\t%.12s\t%s\t%s\n", r.Offset, r.Time.UTC().Format(time.RFC3339), r.Kind,
				r.Version, r.Bundle, strings.Join(r.Signers, ","), result)
		}
	})
}
