// Package bundlecmd implements the operators' subcommands for keys and bundles.
// Each command is a go-arg struct with a method Run(ctx, out).
package bundlecmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/tailscale/hujson"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/placement"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/platform"
)

// Exit codes. They are stable.
const (
	ExitOK           = 0
	ExitFailure      = 1 // a file, the network or the log service failed; nothing was changed
	ExitUsage        = 2 // wrong arguments
	ExitInvalid      = 3 // the bundle, its version or its signatures are not valid
	ExitSuperseded   = 4 // the base of the bundle is not in effect any more
	ExitUndetermined = 5 // the log did not say whether the bundle was published; repeating is safe
	ExitNoBundle     = 6 // the log has no bundle in effect
)

// ExitHelp lists the exit codes for help texts.
const ExitHelp = `Exit codes:
  0  success
  1  a file, the network or the log service failed; nothing was changed
  2  wrong arguments
  3  the bundle, its version or its signatures are not valid
  4  the base of the bundle is not in effect any more
  5  the log did not say whether the bundle was published; repeating is safe
  6  the log has no bundle in effect`

// ExitError is an error with an exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the cause.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for the result of a command.
func ExitCode(err error) int {
	var e *ExitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.Code
	default:
		return ExitFailure
	}
}

// Bundle groups the bundle subcommands.
type Bundle struct {
	New     *New     `arg:"subcommand:new" help:"write the next version from the bundle in effect or a template"`
	Check   *Check   `arg:"subcommand:check" help:"validate a bundle file and print its identifier"`
	Sign    *Sign    `arg:"subcommand:sign" help:"sign off a bundle file"`
	Publish *Publish `arg:"subcommand:publish" help:"append a signed bundle to the log and report the outcome"`
	Status  *Status  `arg:"subcommand:status" help:"show the bundle in effect"`
	History *History `arg:"subcommand:history" help:"list the retained records of the bundle stream and their outcome"`
}

// output selects the form of the result.
type output struct {
	JSON bool `arg:"--json" help:"write the result as JSON"`
}

// write writes result as JSON, or the text that plain returns.
func (o output) write(out io.Writer, result any, plain func(io.Writer)) error {
	if !o.JSON {
		plain(out)
		return nil
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(result)
}

// logFlags say where the log is and who may sign the first bundle.
type logFlags struct {
	Log     string        `arg:"--log,required,env:CASSIARAMP_LOG" placeholder:"URL" help:"log service, for example http://127.0.0.1:7070"`
	Signers string        `arg:"--signers,required,env:CASSIARAMP_SIGNERS" placeholder:"FILE" help:"initial signers as in the daemon's settings"`
	Timeout time.Duration `arg:"--timeout" default:"15s" help:"time limit of the command"`
}

// open returns the log, the initial signers, and ctx with the time limit.
func (f logFlags) open(ctx context.Context) (logstream.Log, state.Signers, context.Context, context.CancelFunc, error) {
	var signers state.Signers
	if err := readStrict(f.Signers, &signers); err != nil {
		return nil, signers, nil, nil, err
	}
	log, err := platform.NewLog(f.Log)
	if err != nil {
		return nil, signers, nil, nil, &ExitError{Code: ExitUsage, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	return log, signers, ctx, cancel, nil
}

// view folds the retained stream.
func (f logFlags) view(ctx context.Context) (*bundle.View, error) {
	log, signers, ctx, cancel, err := f.open(ctx)
	if err != nil {
		return nil, err
	}
	defer cancel()
	return bundle.ReadView(ctx, log, signers)
}

// readStrict reads a file of JSON with comments into v. Unknown fields are
// errors, since they are usually misspelled.
func readStrict(path string, v any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return &ExitError{Code: ExitInvalid, Err: fmt.Errorf("%s: %w", path, err)}
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return &ExitError{Code: ExitInvalid, Err: fmt.Errorf("%s: %w", path, err)}
	}
	return nil
}

// readDocument reads a bundle file and returns its canonical document.
func readDocument(path string) ([]byte, *state.Bundle, error) {
	b := new(state.Bundle)
	if err := readStrict(path, b); err != nil {
		return nil, nil, err
	}
	document, err := bundle.Encode(b)
	if err != nil {
		return nil, nil, err
	}
	if _, err := bundle.Decode(document); err != nil {
		return nil, nil, &ExitError{Code: ExitInvalid, Err: fmt.Errorf("%s: %w", path, err)}
	}
	if err := checkPolicies(b); err != nil {
		return nil, nil, &ExitError{Code: ExitInvalid, Err: fmt.Errorf("%s: %w", path, err)}
	}
	return document, b, nil
}

// checkPolicies reports every policy that entries could not build. They would
// keep their earlier policies although the bundle is accepted.
func checkPolicies(b *state.Bundle) error {
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(b.Policies)) {
		if err := placement.CheckPolicy(name, b.Policies[name]); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// writeNew writes a file that must not exist yet.
func writeNew(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
