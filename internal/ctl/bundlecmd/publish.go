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

// defaultTimeout is the time limit of "bundle new", equal to the default of --timeout
// of the other commands.
const defaultTimeout = 15 * time.Second

// Publish publishes a signed bundle to the log or the store.
type Publish struct {
	File       string   `arg:"positional,required" help:"bundle file: JSON with comments"`
	Signatures []string `arg:"--signature,separate,required" placeholder:"FILE" help:"signature file; repeat for each operator"`
	storageFlags
	outputFlags
}

type publishResult struct {
	Outcome bundle.Outcome `json:"outcome"`
	Bundle  state.BundleID `json:"bundle"`
	Version uint64         `json:"version"`
	Offset  *uint64        `json:"offset,omitempty"`
	Error   string         `json:"error,omitempty"`
}

// Run publishes the bundle and reports the outcome.
func (c *Publish) Run(ctx context.Context, out io.Writer) error {
	document, _, err := readDocument(c.File)
	if err != nil {
		return err
	}
	signatures, err := c.readSignatures(bundle.ID(document))
	if err != nil {
		return err
	}
	storage, ctx, cancel, err := c.openStorage(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	var published bundle.Published
	if storage.register != nil {
		published = bundle.PublishToRegister(ctx, storage.register, storage.signers, document, signatures)
	} else {
		published = bundle.Publish(ctx, storage.log, storage.signers, document, signatures)
	}
	result := publishResult{Outcome: published.Outcome, Bundle: published.ID, Version: published.Version}
	if published.Appended {
		result.Offset = &published.Offset
	}
	if published.Err != nil {
		result.Error = published.Err.Error()
	}
	err = c.writeResult(out, result, func(w io.Writer) {
		fmt.Fprintf(w, "%s: version %d, bundle %s\n", published.Outcome, published.Version, published.ID)
	})
	if err != nil {
		return err
	}
	return outcomeError(published)
}

// readSignatures reads the signature files, which must be for the bundle with this id.
func (c *Publish) readSignatures(id state.BundleID) ([]state.Signature, error) {
	var list []state.Signature
	for _, path := range c.Signatures {
		var s signatureFile
		if err := readJSON(path, &s); err != nil {
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

// outcomeError returns the error and exit code for an outcome, nil if the bundle was
// accepted.
func outcomeError(published bundle.Published) error {
	codes := map[bundle.Outcome]int{
		bundle.OutcomeSuperseded:   ExitSuperseded,
		bundle.OutcomeRefused:      ExitInvalid,
		bundle.OutcomeNotAppended:  ExitFailure,
		bundle.OutcomeUndetermined: ExitUndetermined,
	}
	if published.Outcome == bundle.OutcomeAccepted {
		return nil
	}
	return &ExitError{Code: codes[published.Outcome], Err: fmt.Errorf("the outcome of publishing is %s: %w", published.Outcome, published.Err)}
}

// Status shows the bundle in effect according to the log or the store.
type Status struct {
	storageFlags
	outputFlags
}

type statusResult struct {
	Version            uint64         `json:"version"`
	Bundle             state.BundleID `json:"bundle"`
	Base               state.BundleID `json:"base"`
	Note               string         `json:"note"`
	Offset             uint64         `json:"accepted_offset"`
	Signers            []string       `json:"signed_by"`
	RequiredSignatures int            `json:"required_signatures"`
	OldestOffset       uint64         `json:"oldest_retained_offset"`
	EndOffset          uint64         `json:"end_offset"`
}

// Run prints the bundle in effect.
func (c *Status) Run(ctx context.Context, out io.Writer) error {
	if c.Store != "" {
		return c.runWithStore(ctx, out)
	}
	view, err := c.readView(ctx)
	if err != nil {
		return err
	}
	head := view.Fold.Head()
	if head == nil {
		return noBundleError()
	}
	r := newStatusResult(head)
	r.OldestOffset, r.EndOffset = view.First, view.Next
	return c.printStatus(out, r)
}

// runWithStore prints the bundle in effect according to the users' platform's store,
// which keeps no stream.
func (c *Status) runWithStore(ctx context.Context, out io.Writer) error {
	head, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	if head == nil {
		return noBundleError()
	}
	return c.printStatus(out, newStatusResult(head))
}

// newStatusResult describes the bundle in effect, without the offsets of the stream.
func newStatusResult(head *bundle.DecodedBundle) statusResult {
	r := statusResult{Version: head.Version, Bundle: head.ID, Base: head.Bundle.Base, Note: head.Bundle.Note,
		Offset: head.Offset, Signers: []string{}, RequiredSignatures: head.Bundle.Signers.Required}
	for _, s := range head.Signatures {
		r.Signers = append(r.Signers, s.Operator)
	}
	return r
}

func (c *Status) printStatus(out io.Writer, r statusResult) error {
	return c.writeResult(out, r, func(w io.Writer) {
		fmt.Fprintf(w, "version %d in effect\n  bundle    %s\n  base      %s\n  accepted  offset %d\n  signed by %s\n  note      %s\n",
			r.Version, r.Bundle, idOrNone(r.Base), r.Offset, strings.Join(r.Signers, ", "), r.Note)
	})
}

// History lists the retained records of the bundle stream.
type History struct {
	Limit int `arg:"--limit" default:"20" help:"newest records shown; 0 shows all"`
	storageFlags
	outputFlags
}

// historyRecord is one record of the bundle stream and whether it was accepted.
type historyRecord struct {
	Offset   uint64         `json:"offset"`
	Time     time.Time      `json:"time"`
	Kind     string         `json:"kind"`
	Version  uint64         `json:"version"`
	Bundle   state.BundleID `json:"bundle"`
	Base     state.BundleID `json:"base"`
	Signers  []string       `json:"signed_by"`
	Accepted bool           `json:"accepted"`
	Reason   string         `json:"reason,omitempty"`
}

// Run lists the newest records, at most Limit of them, in the order of the stream.
func (c *History) Run(ctx context.Context, out io.Writer) error {
	view, err := c.readView(ctx)
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
			Bundle: d.ID, Base: d.Base, Signers: append([]string{}, d.Signers...), Accepted: d.HeadChanged}
		if d.Err != nil {
			records[i].Reason = d.Err.Error()
		}
	}
	return c.writeResult(out, records, func(w io.Writer) {
		for _, r := range records {
			result := "accepted"
			if !r.Accepted {
				result = "ignored: " + r.Reason
			}
			fmt.Fprintf(w, "%d\t%s\t%s\tversion %d\t%.12s\t%s\t%s\n", r.Offset, r.Time.UTC().Format(time.RFC3339), r.Kind,
				r.Version, r.Bundle, strings.Join(r.Signers, ","), result)
		}
	})
}
