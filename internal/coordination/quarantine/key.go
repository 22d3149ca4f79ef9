package quarantine

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Key identifies what may crash targets: a part of a prompt at a service, or the content of
// a request. The highest bit tells the two apart.
type Key uint64

// contentBit is set in the keys of contents.
const contentBit Key = 1 << 63

// IsContent reports whether the key is that of the content of a request.
func (k Key) IsContent() bool { return k&contentBit != 0 }

const (
	// maxParts is the number of parts of a prompt that are considered.
	maxParts = 256
	// maxKeys is the number of keys of a request: two are of its content.
	maxKeys = maxParts + 2
)

// KeysOf returns the keys of the parts of a prompt that requests may have in common: all
// but the last, which is the request's own.
func KeysOf(service state.Service, prompt []state.PromptPart) []Key {
	if len(prompt) < 2 {
		return nil
	}
	shared := prompt[:min(len(prompt)-1, maxParts)]
	keys := make([]Key, len(shared))
	for i, part := range shared {
		keys[i] = Key(hashOf(string(service), part.ID)) &^ contentBit
	}
	return keys
}

// ContentKeys returns the keys of the content of a request: customer, method, host, path and
// body and, if it has a prompt, the same together with the prompt. A customer's requests may
// have equal bodies and differ in their prompts only, or the reverse.
func ContentKeys(customer state.Customer, c *state.Call) []Key {
	d := digestOf(string(customer), c.Method, c.Host, c.URI)
	_, _ = d.Write(c.Body) // hash writes never fail
	keys := []Key{Key(d.Sum64()) | contentBit}
	if len(c.Prompt) == 0 {
		return keys
	}
	for _, part := range c.Prompt {
		_, _ = d.WriteString(part.ID)
		_, _ = d.Write([]byte{0})
	}
	return append(keys, Key(d.Sum64())|contentBit)
}

func hashOf(words ...string) uint64 { return digestOf(words...).Sum64() }

// digestOf returns a digest to which the words were written.
func digestOf(words ...string) *xxhash.Digest {
	d := xxhash.New()
	for _, w := range words {
		_, _ = d.WriteString(w) // hash writes never fail
		_, _ = d.Write([]byte{0})
	}
	return d
}
