package gatewayhttp

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzHeadScanner guards against header sections that the scanner counts lower than net/http
// parses them, or differently by how they arrive.
func FuzzHeadScanner(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"\r\n\r\nGET / HTTP/1.1\nHost: h\na:\nb:\n\nbody\n\n",
		"POST / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\td\r\nContent-Length: 2\r\n\r\nab",
		"GET / HTTP/1.1\r\nHost: h\r\n\r\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 50) + "\r\n",
	} {
		f.Add([]byte(seed), uint8(3))
	}
	f.Fuzz(func(t *testing.T, b []byte, piece uint8) {
		var whole, parts headScanner
		whole.scan(b)
		for rest := b; len(rest) > 0 && !parts.ended; {
			n := min(len(rest), int(piece)+1)
			parts.scan(rest[:n])
			rest = rest[n:]
		}
		if whole != parts {
			t.Fatalf("%+v in one piece, %+v in pieces of %d", whole, parts, int(piece)+1)
		}
		if whole.bytes > len(b) || whole.memory() < 0 {
			t.Fatalf("%+v of %d bytes", whole, len(b))
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		fields := 0
		for _, values := range r.Header {
			fields += len(values)
		}
		if whole.lines <= fields || !whole.ended && whole.bytes != len(b) {
			t.Fatalf("%+v, net/http parsed %d fields", whole, fields)
		}
	})
}
