package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/platform"
)

// Events of the stream of a request, and what belongs to no request.
const (
	ownEvents    = "id: 1\ndata: own\n\nid: 2\ndata: own\n\nid: 3\ndata: own\n\nid: 4\ndata: own\n\n"
	ownRest      = "id: 3\ndata: own\n\nid: 4\ndata: own\n\n"
	otherRest    = "id: 3\ndata: other\n\nid: 4\ndata: other\n\n"
	signedHead   = "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n"
	otherRequest = "Request-Id: other\r\n"
)

// withLength, inChunks and untilClose write a response with a signed head.
func withLength(fields, body string) string {
	return fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", signedHead, fields, len(body), body)
}

func inChunks(fields, body string) string {
	return fmt.Sprintf("%s%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", signedHead, fields, len(body), body)
}

func untilClose(fields, body string) string { return signedHead + fields + "\r\n" + body }

// noise is bytes of no request at the point where a response is expected.
var noise = map[string]struct {
	bytes     string
	skippable bool // they are whole responses, behind which the one that is expected follows
}{
	"another response, with a length":                    {withLength(otherRequest, otherRest), true},
	"another response, in chunks":                        {inChunks(otherRequest, otherRest), true},
	"another response, without an end":                   {untilClose(otherRequest, otherRest), false},
	"another response that names nobody, with a length":  {withLength("", otherRest), true},
	"another response that names nobody, in chunks":      {inChunks("", otherRest), true},
	"another response that names nobody, without an end": {untilClose("", otherRest), false},
	"two other responses":                                {withLength(otherRequest, otherRest) + inChunks("", otherRest), true},
	"empty response that names nobody":                   {withLength("", ""), true},
	"events":                                             {otherRest, false},
	"copy of the last event":                             {"id: 2\ndata: own\n\n", false},
	"last chunk":                                         {"0\r\n\r\n", false},
	"end of a chunk and the last one":                    {"\r\n0\r\n\r\n", false},
	"head of which the body is missing":                  {signedHead + otherRequest + "Content-Length: 40\r\n\r\n", false},
	"head of which the body is missing, in chunks":       {signedHead + "Transfer-Encoding: chunked\r\n\r\n", false},
	"head that was cut":                                  {signedHead + "Content-Length: 4", false},
	"head that was cut behind a line":                    {signedHead, false},
	"interim response":                                   {"HTTP/1.1 103 Early Hints\r\n\r\n", true},
	"many interim responses":                             {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxResponses), true},
	"response without a body":                            {"HTTP/1.1 204 No Content\r\nResponse-Signature: s\r\n\r\n", true},
	"TLS alert":                                          {"\x16\x03\x01\x00*\x02\x00\x00\r\n\r\n", false},
	"empty lines":                                        {"\r\n\r\n", false},
}

// serveCutStream answers a request for a stream with its first two events and a part of the third, and
// one that resumes it with the bytes of before and then the rest, apart from them or at once. It names
// the request in its answers to others, and closes the connection behind them if closes says so.
func serveCutStream(t *testing.T, c net.Conn, requests *bufio.Reader, rest func(fields, body string) string, before string, apart, closes bool) {
	for {
		req, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		id := "Request-Id: " + req.Header.Get("Request-Id") + "\r\n"
		switch {
		case req.URL.Path == "/x" && closes:
			respond(t, c, withLength(id+"Connection: close\r\n", "ok"))
			return
		case req.URL.Path == "/x":
			respond(t, c, withLength(id, "ok"))
		case req.Header.Get("Expect-Instance") == string(platform.NoTarget):
			respond(t, c, misdirected(c.LocalAddr().String()))
		case req.Header.Get("Last-Event-Id") == "2":
			own := rest(id, ownRest)
			if apart {
				respond(t, c, before)
				time.Sleep(5 * time.Millisecond)
				before = ""
			}
			respond(t, c, before+own)
			if !strings.Contains(own, "Content-Length") && !strings.Contains(own, "chunked") {
				return
			}
		default:
			respond(t, c, signedHead+id+"Content-Length: 1000\r\n\r\n"+ownEvents[:strings.Index(ownEvents, ownRest)]+"id: 3\nda")
			return
		}
	}
}

// Guards against a stream that goes on at another target and gets pieces of another response there, or
// looks complete before its end: bytes of no request stand on the connection where the answer to the
// resumption is expected, before the answer or with it, on a new connection or one that is reused. The
// target has named requests in its responses before.
func TestBytesOfNoRequestWhereAStreamIsResumed(t *testing.T) {
	for name, before := range noise {
		for form, rest := range map[string]func(fields, body string) string{"length": withLength, "chunks": inChunks, "no end": untilClose} {
			for _, reused := range []bool{true, false} {
				for _, apart := range []bool{true, false} {
					t.Run(fmt.Sprintf("%s/%s/reused=%t/apart=%t", name, form, reused, apart), func(t *testing.T) {
						t.Parallel()
						client := New()
						var addresses []string
						for i := range 2 {
							address, _ := startTarget(t, func(c net.Conn, requests *bufio.Reader) {
								serveCutStream(t, c, requests, rest, before.bytes, apart, !reused)
							})
							addresses = append(addresses, address)
							first := state.RequestID(fmt.Sprint("first", i))
							if _, _, err := sendTo(t, client, state.TargetRecord{ID: state.TargetID(address), Address: address}, first); err != nil {
								t.Fatal(err)
							}
						}
						out := &pausedStream{}
						call := &state.Call{ID: "r", Method: http.MethodPost, URI: "/resume/x", Host: "h", Path: "/resume/x", Header: []state.HeaderField{{Name: "Request-Id", Value: "r"}}}
						newGateway(client, addresses).Serve(t.Context(), call, time.Now(), out)
						if !strings.HasPrefix(ownEvents, out.Body) || out.Ended && out.Body != ownEvents || before.skippable && !out.Ended {
							t.Errorf("complete %t with %q", out.Ended, out.Body)
						}
					})
				}
			}
		}
	}
}
