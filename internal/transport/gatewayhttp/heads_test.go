package gatewayhttp

import (
	"net/http"
	"testing"
)

// headFields are the fields of the heads in this file that do not say where the body ends, and headBody is
// the body.
const (
	headFields = "Request-Id: r\r\nResponse-Signature: s\r\n"
	headBody   = "id: 1\ndata: a\n\n"
)

// Guards against an answer whose head is not one of HTTP/1 that is passed on: what it says of the end of its
// body cannot be trusted.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	expectHeads(t, false, map[string]string{
		"no version":         "200 OK\r\n" + headFields + "Content-Length: 15\r\n\r\n" + headBody,
		"version 1.1x":       "HTTP/1.1x 200 OK\r\n" + headFields + "Content-Length: 15\r\n\r\n" + headBody,
		"lower case version": "http/1.1 200 OK\r\n" + headFields + "Content-Length: 15\r\n\r\n" + headBody,
		"negative length":    "HTTP/1.1 200 OK\r\n" + headFields + "Content-Length: -1\r\n\r\n" + headBody,
		"length with a sign": "HTTP/1.1 200 OK\r\n" + headFields + "Content-Length: +15\r\n\r\n" + headBody,
		"empty length":       "HTTP/1.1 200 OK\r\n" + headFields + "Content-Length: \r\n\r\n" + headBody,
		"two lengths":        "HTTP/1.1 200 OK\r\n" + headFields + "Content-Length: 15\r\nContent-Length: 4\r\n\r\n" + headBody,
		"list of lengths":    "HTTP/1.1 200 OK\r\n" + headFields + "Content-Length: 15, 4\r\n\r\n" + headBody,
		"unknown coding":     "HTTP/1.1 200 OK\r\n" + headFields + "Transfer-Encoding: gzip, chunked\r\n\r\nf\r\n" + headBody + "\r\n0\r\n\r\n",
		"coding identity":    "HTTP/1.1 200 OK\r\n" + headFields + "Transfer-Encoding: identity\r\nContent-Length: 15\r\n\r\n" + headBody,
		"two codings":        "HTTP/1.1 200 OK\r\n" + headFields + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + headBody + "\r\n0\r\n\r\n",
		"CR inside a field":  "HTTP/1.1 200 OK\r\n" + headFields + "X: a\rY: b\r\nContent-Length: 15\r\n\r\n" + headBody,
		"CR behind a field":  "HTTP/1.1 200 OK\r\n" + headFields + "X: a\r\r\nContent-Length: 15\r\n\r\n" + headBody,
		"NUL in a field":     "HTTP/1.1 200 OK\r\n" + headFields + "X: a\x00b\r\nContent-Length: 15\r\n\r\n" + headBody,
		"line without colon": "HTTP/1.1 200 OK\r\n" + headFields + "X\r\nContent-Length: 15\r\n\r\n" + headBody,
		"empty name":         "HTTP/1.1 200 OK\r\n" + headFields + ": x\r\nContent-Length: 15\r\n\r\n" + headBody,
	})
}

// Guards against an answer in another version of HTTP than the client speaks that is passed on.
func TestOtherVersionIsNoAnswer(t *testing.T) {
	expectHeads(t, false, map[string]string{
		"version 0.9": "HTTP/0.9 200 OK\r\n" + headFields + "Content-Length: 15\r\n\r\n" + headBody,
		"version 2.0": "HTTP/2.0 200 OK\r\n" + headFields + "Content-Length: 15\r\n\r\n" + headBody,
		"version 9.9": "HTTP/9.9 200 OK\r\n" + headFields + "Content-Length: 15\r\n\r\n" + headBody,
	})
}

// Guards against an answer that is lost, or cut, because its head is unusual: HTTP allows recipients to take
// these heads, and the body is whole.
func TestUnusualHeadIsPassedOn(t *testing.T) {
	expectHeads(t, true, map[string]string{
		"same length twice":            "HTTP/1.1 200 OK\r\n" + headFields + "Content-Length: 15\r\nContent-Length: 15\r\n\r\n" + headBody,
		"length and chunks":            "HTTP/1.1 200 OK\r\n" + headFields + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + headBody + "\r\n0\r\n\r\n",
		"length and chunks, HTTP/1.0":  "HTTP/1.0 200 OK\r\n" + headFields + "Content-Length: 15\r\nTransfer-Encoding: chunked\r\n\r\n" + headBody,
		"folded field":                 "HTTP/1.1 200 OK\r\n" + headFields + "X: a\r\n b\r\nContent-Length: 15\r\n\r\n" + headBody,
		"CR behind the status":         "HTTP/1.1 200 OK\r\r\n" + headFields + "Content-Length: 15\r\n\r\n" + headBody,
		"space before the colon":       "HTTP/1.1 200 OK\r\n" + headFields + "Content-Length : 15\r\n\r\n" + headBody,
		"space in a name":              "HTTP/1.1 200 OK\r\n" + headFields + "X Y: x\r\nContent-Length: 15\r\n\r\n" + headBody,
		"line feeds only":              "HTTP/1.1 200 OK\nRequest-Id: r\nResponse-Signature: s\nContent-Length: 15\n\n" + headBody,
		"leading spaces of the status": "HTTP/1.1   200 OK\r\n" + headFields + "Content-Length: 15\r\n\r\n" + headBody,
		"signature twice":              "HTTP/1.1 200 OK\r\n" + headFields + "Response-Signature: z\r\nContent-Length: 15\r\n\r\n" + headBody,
	})
}

// expectHeads reports as an error an answer that is not passed on whole, or, if that is not wanted, that
// does not give 502.
func expectHeads(t *testing.T, passedOn bool, answers map[string]string) {
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for route, path := range rawPaths {
				resp, body, err := upload(t, startRawServer(t, rawTarget{answer: answer, readsBody: true}), path, "HTTP/1.1", 10)
				whole := err == nil && resp.StatusCode == http.StatusOK && body == headBody
				if whole != passedOn || !passedOn && (err != nil || resp.StatusCode != http.StatusBadGateway) {
					t.Errorf("%s: response %+v with body %q, error %v; want it passed on: %t", route, resp, body, err, passedOn)
				}
			}
		})
	}
}
