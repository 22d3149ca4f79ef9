package loadcmd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a part of a plain response that counts as complete: one that only the end of its
// connection ends, as when the entry is killed, or one of which the rest is not read.
func TestPartOfPlainResponseIsNotComplete(t *testing.T) {
	long := strings.Repeat("x", maxPlainBodyBytes)
	for _, tc := range []struct {
		name, response string
		want           outcome
	}{
		{"no content", "204 No Content\r\n\r\n", outcomeComplete},
		{"whole", "200 OK\r\nContent-Length: 1\r\n\r\nx", outcomeComplete},
		{"whole in chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", outcomeComplete},
		{"no length or chunks", "200 OK\r\n\r\nx", outcomeCut},
		{"longest", fmt.Sprintf("200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long), outcomeComplete},
		{"too long", fmt.Sprintf("200 OK\r\nContent-Length: %d\r\n\r\n%sx", len(long)+1, long), outcomeFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return // the test has ended
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					t.Error(err)
				}
				io.WriteString(conn, "HTTP/1.1 "+tc.response) // fails if the sender leaves
			}()
			url := "http://" + ln.Addr().String()
			r := newSender(testCommand(url)).sendOnce(&requestSpec{id: "x", customer: -1, kind: plainRequest}, url)
			if r.outcome != tc.want {
				t.Errorf("outcome %s (%s), want %s", r.outcome, r.detail, tc.want)
			}
		})
	}
}
