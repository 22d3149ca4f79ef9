package settings

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// Problem is one error in a settings file.
type Problem struct {
	File   string
	Line   int // from 1
	Column int // from 1, in characters
	Key    string
	Text   string // what is wrong and what is allowed
}

// String returns "file:line:column: key: text".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Key, p.Text)
}

// Problems holds all errors of a settings file, sorted by position.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Key, b.Key))
	})
}

// position converts a byte offset to a line and column, both from 1.
func position(data []byte, offset int) (line, column int) {
	before := data[:offset]
	start := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte{'\n'}) + 1, utf8.RuneCount(before[start:]) + 1
}
