package netconn

import (
	"errors"
	"testing"
)

// Guards against a status that is overlooked or misread because its line arrives in pieces, behind interim
// responses or with spaces, and against a body that is taken for a head.
func TestStatusReader(t *testing.T) {
	for text, known := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 X\r\n\r\n":                              true,
		"HTTP/1.1 599\r\n\r\n":                                                       true,
		"HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 204 X\r\n\r\n":                       true,
		"HTTP/1.1 100 X\r\nHTTP/1.1 000: b\r\n\r\nHTTP/1.1 204 X\r\n\r\n":            true,
		"no answer\r\n\r\n":                                                          true, // left to the HTTP library
		"HTTP/1.1 000 X\r\n\r\n":                                                     false,
		"HTTP/1.1   000 X\r\n\r\n":                                                   false,
		"\r\n\nHTTP/1.1 600\n\n":                                                     false,
		"HTTP/1.1 101 X\r\n\r\n":                                                     false,
		"HTTP/1.1 100 X\r\n\r\n\r\nHTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 099 X\r\n": false,
		"HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n":       false,
	} {
		var whole, bytewise StatusReader
		if err := whole.Read([]byte(text)); (err == nil) != known || !known && !errors.Is(err, ErrUnknownStatus) {
			t.Errorf("%q: error %v, want known %t", text, err, known)
		}
		var err error
		for i := range len(text) {
			err = bytewise.Read([]byte(text[i : i+1]))
		}
		if (err == nil) != known {
			t.Errorf("%q, byte by byte: error %v, want known %t", text, err, known)
		}
	}
}
