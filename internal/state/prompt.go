package state

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the estimated number of prompt bytes in a token.
const BytesPerToken = 4

// PromptBlockBytes is the size of a prompt block, 64 estimated tokens.
const PromptBlockBytes = 64 * BytesPerToken

// Message is one chat message with text content.
type Message struct {
	Role    string
	Content string
}

// ChatPrompt returns the prompt bytes of a chat: role and content of each
// message, each followed by a newline.
func ChatPrompt(messages []Message) []byte {
	var out []byte
	for _, m := range messages {
		out = append(out, m.Role...)
		out = append(out, '\n')
		out = append(out, m.Content...)
		out = append(out, '\n')
	}
	return out
}

// PromptBlockHashes returns one hash for each complete block of the prompt. A
// hash covers its block and all blocks before it, so equal hashes mean equal
// prefixes.
func PromptBlockHashes(prompt []byte) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/PromptBlockBytes)
	var previous [8]byte
	for len(prompt) >= PromptBlockBytes {
		d := xxhash.New()
		d.Write(previous[:])
		d.Write(prompt[:PromptBlockBytes])
		h := d.Sum64()
		blocks = append(blocks, h)
		binary.LittleEndian.PutUint64(previous[:], h)
		prompt = prompt[PromptBlockBytes:]
	}
	return blocks
}
