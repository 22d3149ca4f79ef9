// Package bundle signs, verifies and publishes bundles, and decides which bundle
// is in effect in a process.
//
// A bundle is published as a document, its canonical JSON, with signatures of
// operators. It names its base, the bundle that it replaces. A deployment keeps its
// bundles in one of two places:
//   - The bundle stream of the log service, which every process folds to the same
//     result (Publish, Fold, Store). A bundle must be signed by operators listed in
//     its base.
//   - A Register, which keeps only the newest bundle (PublishToRegister, Rollout). A
//     bundle must be signed by the operators that the process was started with.
package bundle

import (
	"bytes"
	"crypto"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Stream is the name of the bundle stream.
const Stream = "bundles"

// MaxDocumentBytes is the size of the largest valid document. It leaves room for
// the frame of a BundleDocument message.
const MaxDocumentBytes = 4 << 20

// signContext is the Ed25519 context of bundle signatures. With it, a signature made
// with the same key for another purpose is not valid for a bundle.
const signContext = "cassiaramp bundle"

// ErrSignature is wrapped by errors about missing, invalid or duplicate
// signatures.
var ErrSignature = errors.New("insufficient signatures")

// ErrDocument is wrapped by errors about a document that is not a valid bundle.
var ErrDocument = errors.New("invalid bundle document")

// Encode returns the canonical document of b: JSON without white space, with the
// fields in the order of state.Bundle and sorted map keys.
func Encode(b *state.Bundle) ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(b); err != nil {
		return nil, fmt.Errorf("encode bundle: %w", err)
	}
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n")), nil
}

// Decode parses and validates a document. Unknown fields are ignored, so that
// processes of an older release keep accepting bundles during an upgrade.
func Decode(document []byte) (*state.Bundle, error) {
	if len(document) > MaxDocumentBytes {
		return nil, fmt.Errorf("%w: %d bytes, want at most %d", ErrDocument, len(document), MaxDocumentBytes)
	}
	b := new(state.Bundle)
	if err := json.Unmarshal(document, b); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDocument, err)
	}
	if b.Version == 0 {
		return nil, fmt.Errorf("%w: version: want at least 1", ErrDocument)
	}
	if err := errors.Join(b.Validate(), checkSignerKeys(b.Signers)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDocument, err)
	}
	return b, nil
}

// checkSignerKeys returns an error for keys that cannot sign the next bundle: keys
// that do not parse, and one key under the names of two operators.
func checkSignerKeys(s state.Signers) error {
	var errs []error
	seen := make(map[string]string)
	for _, operator := range slices.Sorted(maps.Keys(s.Keys)) {
		key, err := ParsePublicKey(s.Keys[operator])
		if err != nil {
			errs = append(errs, fmt.Errorf("signers.keys.%s: %w", operator, err))
			continue
		}
		if other, duplicate := seen[string(key)]; duplicate {
			errs = append(errs, fmt.Errorf("signers.keys.%s: the same key as that of %s", operator, other))
		}
		seen[string(key)] = operator
	}
	return errors.Join(errs...)
}

// CheckSigners returns an error if no signatures could satisfy s. A list without
// keys is valid: such a deployment has no operators who sign bundles.
func CheckSigners(s state.Signers) error {
	if len(s.Keys) == 0 {
		return nil
	}
	if s.Required < 1 || s.Required > len(s.Keys) {
		return fmt.Errorf("signers.required: %d, want 1 to %d", s.Required, len(s.Keys))
	}
	return checkSignerKeys(s)
}

// ID returns the identifier of a document: its SHA-256 hash in hexadecimal digits.
func ID(document []byte) state.BundleID {
	sum := sha256.Sum256(document)
	return state.BundleID(hex.EncodeToString(sum[:]))
}

// Sign returns operator's signature over document.
func Sign(document []byte, operator string, key ed25519.PrivateKey) (state.Signature, error) {
	sig, err := key.Sign(nil, document, signOptions())
	if err != nil {
		return state.Signature{}, fmt.Errorf("sign as %s: %w", operator, err)
	}
	return state.Signature{Operator: operator, Signature: sig}, nil
}

// Verify returns nil if the required number of distinct operators listed in signers
// signed document. Signatures of operators that are not listed do not count; an
// invalid signature of a listed operator is an error, as is a second one by the same
// operator or the same key. The error wraps ErrSignature.
func Verify(document []byte, signatures []state.Signature, signers state.Signers) error {
	if signers.Required < 1 {
		return fmt.Errorf("%w: no signers are configured", ErrSignature)
	}
	operators := make(map[string]bool)
	keys := make(map[string]bool)
	for _, s := range signatures {
		text, listed := signers.Keys[s.Operator]
		if !listed {
			continue
		}
		key, err := ParsePublicKey(text)
		if err != nil {
			return fmt.Errorf("%w: operator %s: %w", ErrSignature, s.Operator, err)
		}
		if operators[s.Operator] || keys[string(key)] {
			return fmt.Errorf("%w: operator %s signed twice", ErrSignature, s.Operator)
		}
		if err := ed25519.VerifyWithOptions(key, document, s.Signature, signOptions()); err != nil {
			return fmt.Errorf("%w: operator %s: %w", ErrSignature, s.Operator, err)
		}
		operators[s.Operator], keys[string(key)] = true, true
	}
	if len(operators) < signers.Required {
		return fmt.Errorf("%w: %d of the %d required operators signed", ErrSignature, len(operators), signers.Required)
	}
	return nil
}

// ParsePublicKey parses a public key in the base64 form used in state.Signers.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("public key: %w", err)
	}
	if len(raw) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("public key: %d bytes, want %d", len(raw), ed25519.PublicKeySize)
	}
	return raw, nil
}

func signOptions() *ed25519.Options {
	return &ed25519.Options{Hash: crypto.Hash(0), Context: signContext}
}
