// Package bundlecmd implements the operators' subcommands for keys and bundles.
// Each command is a go-arg struct with a method Run(ctx, out).
package bundlecmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/placement"
	"github.com/cassiaramp/cassiaramp/internal/jsonfile"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/platform"
	usersplatform "github.com/cassiaramp/cassiaramp/platform"
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

// logFlags say where bundles are kept and who signs them.
type logFlags struct {
	Log     string        `arg:"--log,env:CASSIARAMP_LOG" placeholder:"URL" help:"log service, for example http://127.0.0.1:7070"`
	Store   string        `arg:"--store,env:CASSIARAMP_STORE" placeholder:"IP:PORT" help:"the users' platform's store, instead of --log"`
	Signers string        `arg:"--signers,required,env:CASSIARAMP_SIGNERS" placeholder:"FILE" help:"initial signers as in the daemon's settings"`
	Timeout time.Duration `arg:"--timeout" default:"15s" help:"time limit of the command"`
}

// place is where bundles are kept: exactly one of log and register is set.
type place struct {
	log      logstream.Log
	register bundle.Register
	signers  state.Signers
}

// open returns the place, and ctx with the time limit.
func (f logFlags) open(ctx context.Context) (place, context.Context, context.CancelFunc, error) {
	var p place
	if (f.Log == "") == (f.Store == "") {
		return p, nil, nil, &ExitError{Code: ExitUsage, Err: errors.New("one of --log and --store is needed")}
	}
	if err := readStrict(f.Signers, &p.signers); err != nil {
		return p, nil, nil, err
	}
	if f.Store != "" {
		p.register = usersplatform.BundleRegister{Store: usersplatform.NewStore(f.Store)}
	} else {
		log, err := platform.NewLogClient(f.Log)
		if err != nil {
			return p, nil, nil, &ExitError{Code: ExitUsage, Err: err}
		}
		p.log = log
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	return p, ctx, cancel, nil
}

// view folds the retained stream.
func (f logFlags) view(ctx context.Context) (*bundle.View, error) {
	p, ctx, cancel, err := f.open(ctx)
	if err != nil {
		return nil, err
	}
	defer cancel()
	if p.log == nil {
		return nil, &ExitError{Code: ExitUsage, Err: errors.New("the store keeps the newest bundle only; --log is needed")}
	}
	return bundle.ReadView(ctx, p.log, p.signers)
}

// head returns the bundle in effect, nil for none.
func (f logFlags) head(ctx context.Context) (*bundle.DecodedBundle, error) {
	if f.Store == "" {
		view, err := f.view(ctx)
		if err != nil {
			return nil, err
		}
		return view.Fold.Head(), nil
	}
	p, ctx, cancel, err := f.open(ctx)
	if err != nil {
		return nil, err
	}
	defer cancel()
	head, _, err := bundle.ReadRegister(ctx, p.register, p.signers)
	return head, err
}

// readStrict reads a file of JSON with comments into v.
func readStrict(path string, v any) error {
	err := jsonfile.Read(path, v)
	if errors.Is(err, jsonfile.ErrInvalid) {
		return &ExitError{Code: ExitInvalid, Err: err}
	}
	return err
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
	if b.Admission != nil {
		_, err := dispatch.NewPolicies(*b.Admission, b.Policies, b.Split)
		return err
	}
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
