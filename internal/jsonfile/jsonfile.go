// Package jsonfile reads files of JSON with comments and trailing commas.
package jsonfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/tailscale/hujson"
)

// ErrInvalid is wrapped by errors about the content of a file, as opposed to
// errors of reading it.
var ErrInvalid = errors.New("invalid content")

// Read decodes the file at path into v. Unknown fields are errors, since they are
// usually misspelled. The error wraps ErrInvalid unless the file could not be
// read.
func Read(path string, v any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return fmt.Errorf("%s: %w: %w", path, ErrInvalid, err)
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("%s: %w: %w", path, ErrInvalid, err)
	}
	return nil
}
