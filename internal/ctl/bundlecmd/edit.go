package bundlecmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// New writes a file with the next version of the bundle.
type New struct {
	Out      string `arg:"positional,required" placeholder:"FILE" help:"file to write; must not exist"`
	Template string `arg:"--template" placeholder:"FILE" help:"take the content from this file instead of the bundle in effect"`
	Note     string `arg:"--note" help:"what changes and why"`
	Anchor   bool   `arg:"--anchor" help:"write a bundle without base, for the first publication or after the log forgot everything; needs --template"`
	Version  uint64 `arg:"--version" default:"1" help:"version of an anchor; higher than any version ever in effect"`
	Log      string `arg:"--log,env:CASSIARAMP_LOG" placeholder:"URL" help:"log service; not needed for an anchor"`
	Store    string `arg:"--store,env:CASSIARAMP_STORE" placeholder:"IP:PORT" help:"the users' platform's store, instead of --log"`
	Signers  string `arg:"--signers,env:CASSIARAMP_SIGNERS" placeholder:"FILE" help:"initial signers; not needed for an anchor"`
	outputFlags
}

// bundleResult is the result of New and Check.
type bundleResult struct {
	File    string         `json:"file,omitempty"`
	Version uint64         `json:"version"`
	Bundle  state.BundleID `json:"bundle,omitempty"`
	Base    state.BundleID `json:"base"`
	Error   string         `json:"error,omitempty"`
}

// Run writes the file. It never replaces an existing one.
func (c *New) Run(ctx context.Context, out io.Writer) error {
	b, err := c.nextBundle(ctx)
	if err != nil {
		return err
	}
	if c.Note != "" || c.Template == "" {
		b.Note = c.Note
	}
	text, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return err
	}
	if err := writeNewFile(c.Out, append(text, '\n'), 0o644); err != nil {
		return err
	}
	result := bundleResult{File: c.Out, Version: b.Version, Base: b.Base}
	return c.writeResult(out, result, func(w io.Writer) {
		fmt.Fprintf(w, "wrote %s: version %d, base %s\n", c.Out, b.Version, idOrNone(b.Base))
	})
}

// nextBundle returns the bundle to write, without the note.
func (c *New) nextBundle(ctx context.Context) (*state.Bundle, error) {
	b := new(state.Bundle)
	if c.Template != "" {
		if err := readJSON(c.Template, b); err != nil {
			return nil, err
		}
	}
	if c.Anchor {
		if c.Template == "" || c.Version < 1 {
			return nil, &ExitError{Code: ExitUsage, Err: errors.New("--anchor needs --template and a --version of at least 1")}
		}
		b.Version, b.Base = c.Version, ""
		return b, nil
	}
	if c.Signers == "" {
		return nil, &ExitError{Code: ExitUsage, Err: errors.New("--signers is required unless --anchor is given")}
	}
	head, err := storageFlags{Log: c.Log, Store: c.Store, Signers: c.Signers, Timeout: defaultTimeout}.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if head == nil {
		return nil, noBundleError()
	}
	if c.Template == "" {
		*b = *head.Bundle
	}
	b.Version, b.Base = head.Version+1, head.ID
	return b, nil
}

// Check validates a bundle file.
type Check struct {
	File string `arg:"positional,required" help:"bundle file: JSON with comments"`
	outputFlags
}

// Run prints the identifier of the bundle, or why the file is not valid.
func (c *Check) Run(_ context.Context, out io.Writer) error {
	document, b, err := readDocument(c.File)
	result := bundleResult{File: c.File}
	if err != nil {
		result.Error = err.Error()
		return errors.Join(err, c.writeResult(out, result, func(io.Writer) {}))
	}
	result.Version, result.Base, result.Bundle = b.Version, b.Base, bundle.ID(document)
	return c.writeResult(out, result, func(w io.Writer) {
		fmt.Fprintf(w, "%s is valid: version %d, bundle %s, base %s\n", c.File, b.Version, result.Bundle, idOrNone(b.Base))
	})
}

// Sign signs a bundle file as an operator.
type Sign struct {
	File     string `arg:"positional,required" help:"bundle file: JSON with comments"`
	Operator string `arg:"--operator,required" help:"name as listed in the signers"`
	Key      string `arg:"--key,required" placeholder:"FILE" help:"private key from keys new"`
	Out      string `arg:"--out" placeholder:"FILE" help:"signature file to write; default FILE.OPERATOR.sig"`
	outputFlags
}

// signatureFile is the content of a signature file.
type signatureFile struct {
	Bundle state.BundleID `json:"bundle"`
	state.Signature
}

// Run writes the signature file. It never replaces an existing one.
func (c *Sign) Run(_ context.Context, out io.Writer) error {
	document, _, err := readDocument(c.File)
	if err != nil {
		return err
	}
	key, err := readPrivateKey(c.Key)
	if err != nil {
		return err
	}
	sig, err := bundle.Sign(document, c.Operator, key)
	if err != nil {
		return err
	}
	path := c.Out
	if path == "" {
		path = c.File + "." + c.Operator + ".sig"
	}
	content := signatureFile{Bundle: bundle.ID(document), Signature: sig}
	text, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return err
	}
	if err := writeNewFile(path, append(text, '\n'), 0o644); err != nil {
		return err
	}
	result := struct {
		File string `json:"file"`
		signatureFile
	}{path, content}
	return c.writeResult(out, result, func(w io.Writer) {
		fmt.Fprintf(w, "wrote %s: bundle %s signed by %s\n", path, content.Bundle, c.Operator)
	})
}

// idOrNone returns id as text, "none" if it is empty.
func idOrNone(id state.BundleID) string {
	if id == "" {
		return "none"
	}
	return string(id)
}

// noBundleError is the error of commands that need a bundle in effect.
func noBundleError() error {
	return &ExitError{Code: ExitNoBundle, Err: errors.New("the log has no bundle in effect; publish a first bundle or an anchor")}
}
