package standin

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the i-th generated token for prompt: a word of three syllables
// followed by a space.
func Token(prompt []byte, i int) string { return tokenFromSeed(xxhash.Sum64(prompt), i) }

// ExpectedText returns the first n generated tokens for prompt, concatenated.
func ExpectedText(prompt []byte, n int) string { return textFromSeed(xxhash.Sum64(prompt), n) }

func textFromSeed(seed uint64, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(tokenFromSeed(seed, i))
	}
	return b.String()
}

const (
	consonants = "bdfghjklmnprstvz"
	vowels     = "aeiou"
	syllables  = 3
)

// tokenFromSeed returns token i of the text for a prompt whose hash is seed. It
// mixes the hash and i with the finalizer of SplitMix64, so that a token does not
// take another pass over the prompt.
func tokenFromSeed(seed uint64, i int) string {
	h := seed + uint64(i+1)*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	h ^= h >> 31
	var word [2*syllables + 1]byte
	for s := range syllables {
		word[2*s] = consonants[h%uint64(len(consonants))]
		h /= uint64(len(consonants))
		word[2*s+1] = vowels[h%uint64(len(vowels))]
		h /= uint64(len(vowels))
	}
	word[2*syllables] = ' '
	return string(word[:])
}
