// Package bundlecmd implements the operators' subcommands "keys" and "bundle" of
// cassiarampctl. Each command is a go-arg struct with a method Run(ctx, out).
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
	"github.com/cassiaramp/cassiaramp/internal/transport/platformclient"
	"github.com/cassiaramp/cassiaramp/platform"
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

// Error returns the message of the wrapped error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for the error that a command returned.
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

// outputFlags selects the format of the result.
type outputFlags struct {
	JSON bool `arg:"--json" help:"write the result as JSON"`
}

// writeResult writes result as JSON if --json is given, else the text that writeText
// writes.
func (o outputFlags) writeResult(out io.Writer, result any, writeText func(io.Writer)) error {
	if !o.JSON {
		writeText(out)
		return nil
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(result)
}

// storageFlags are the arguments that say where bundles are stored and who signs them.
type storageFlags struct {
	Log     string        `arg:"--log,env:CASSIARAMP_LOG" placeholder:"URL" help:"log service, for example http://127.0.0.1:7070"`
	Store   string        `arg:"--store,env:CASSIARAMP_STORE" placeholder:"IP:PORT" help:"the users' platform's store, instead of --log"`
	Signers string        `arg:"--signers,required,env:CASSIARAMP_SIGNERS" placeholder:"FILE" help:"initial signers as in the daemon's settings"`
	Timeout time.Duration `arg:"--timeout" default:"15s" help:"time limit of the command"`
}

// bundleStorage is where bundles are stored: exactly one of log and register is set.
type bundleStorage struct {
	log      logstream.Log
	register bundle.Register
	signers  state.Signers
}

// openStorage returns the selected storage, and ctx with the time limit of the command.
func (f storageFlags) openStorage(ctx context.Context) (bundleStorage, context.Context, context.CancelFunc, error) {
	var storage bundleStorage
	if (f.Log == "") == (f.Store == "") {
		return storage, nil, nil, &ExitError{Code: ExitUsage, Err: errors.New("exactly one of --log and --store is required")}
	}
	if err := readJSON(f.Signers, &storage.signers); err != nil {
		return storage, nil, nil, err
	}
	if f.Store != "" {
		storage.register = platform.BundleRegister{Store: platform.NewStore(f.Store)}
	} else {
		log, err := platformclient.NewLogClient(f.Log)
		if err != nil {
			return storage, nil, nil, &ExitError{Code: ExitUsage, Err: err}
		}
		storage.log = log
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	return storage, ctx, cancel, nil
}

// readView reads the retained records of the bundle stream and evaluates them in order.
// It needs --log.
func (f storageFlags) readView(ctx context.Context) (*bundle.View, error) {
	storage, ctx, cancel, err := f.openStorage(ctx)
	if err != nil {
		return nil, err
	}
	defer cancel()
	if storage.log == nil {
		return nil, &ExitError{Code: ExitUsage, Err: errors.New("the store keeps only the newest bundle; --log is required")}
	}
	return bundle.ReadView(ctx, storage.log, storage.signers)
}

// readHead returns the bundle in effect, nil if there is none.
func (f storageFlags) readHead(ctx context.Context) (*bundle.DecodedBundle, error) {
	if f.Store == "" {
		view, err := f.readView(ctx)
		if err != nil {
			return nil, err
		}
		return view.Fold.Head(), nil
	}
	storage, ctx, cancel, err := f.openStorage(ctx)
	if err != nil {
		return nil, err
	}
	defer cancel()
	head, _, err := bundle.ReadRegister(ctx, storage.register, storage.signers)
	return head, err
}

// readJSON reads a file of JSON with comments into v. Content that is not valid,
// including unknown fields, is an error with ExitInvalid.
func readJSON(path string, v any) error {
	err := jsonfile.Read(path, v)
	if errors.Is(err, jsonfile.ErrInvalid) {
		return &ExitError{Code: ExitInvalid, Err: err}
	}
	return err
}

// readDocument reads and validates a bundle file. It returns the canonical encoding of
// the bundle, which is what operators sign, and the bundle.
func readDocument(path string) ([]byte, *state.Bundle, error) {
	b := new(state.Bundle)
	if err := readJSON(path, b); err != nil {
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

// checkPolicies returns an error for policies that entries could not build. Entries
// would accept the bundle, but keep the policies that they had before.
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

// writeNewFile creates a file. An existing file is an error and is not changed.
func writeNewFile(path string, data []byte, mode os.FileMode) error {
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
