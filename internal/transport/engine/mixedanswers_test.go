package engine

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a part of a response that passes for complete at a side process: its service answers a
// long upload at once, sends a part of the body and resets the connection.
func TestPartOfResponseToLongUploadIsUnknown(t *testing.T) {
	framings := map[string]string{
		"without length":           "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s",
		"without length, HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n%s",
		"event stream":             "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s",
		"without the last chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n%s\r\n",
		"shorter than its length":  "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n%s",
	}
	const upload = 32 << 20 // of runLongCall
	resets := map[string]func(*net.TCPConn){
		"at once":                     func(*net.TCPConn) {},
		"while the upload is blocked": func(*net.TCPConn) { time.Sleep(100 * time.Millisecond) },
		"inside the upload":           func(c *net.TCPConn) { io.CopyN(io.Discard, c, upload/2) },
		"behind the upload":           func(c *net.TCPConn) { io.CopyN(io.Discard, c, upload-64<<10); time.Sleep(100 * time.Millisecond) },
	}
	for reset, before := range resets {
		for framing, format := range framings {
			for where, part := range map[string]string{"at an event": "data: a\n\n", "inside an event": "data: abc"} {
				t.Run(reset+"/"+framing+"/"+where, func(t *testing.T) {
					c := startEarlyTarget(t, fmt.Sprintf(format, part), func(conn *net.TCPConn) {
						before(conn)
						conn.SetLinger(0)
					})
					status, body, err := runLongCall(t, c)
					if unknown := (*side.UnknownOutcomeError)(nil); !errors.As(err, &unknown) {
						t.Errorf("status %d, body %q, error %v; want an unknown outcome", status, body, err)
					}
				})
			}
		}
	}
}

// Guards against a part of a stream of an engine that passes for complete because its connection ends
// behind an event: only the event that ends the stream shows that it is whole.
func TestPartOfStreamIsResumed(t *testing.T) {
	var resumptions atomic.Int64
	c := startScriptedEngine(t, func(r *http.Request) string {
		if r.Method == http.MethodGet {
			resumptions.Add(1)
			return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nid: 1\ndata: b\n\nid: 2\ndata: [DONE]\n\n"
		}
		return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nid: 0\ndata: a\n\n"
	})
	var got []string
	_, err := c.Run(t.Context(), testAttempt, &state.Request{Kind: state.Completion, Body: []byte(`{"model":"m"}`)}, func(e state.AttemptEvent) {
		got = append(got, string(e.(*state.Chunk).Data))
	})
	if err != nil || len(got) != 2 || resumptions.Load() != 1 {
		t.Errorf("chunks %q after %d resumptions, error %v; want two after one", got, resumptions.Load(), err)
	}
}

// startScriptedEngine runs an engine that sends what answer returns, byte by byte as it is, and closes the
// connection. It returns a client for it.
func startScriptedEngine(t *testing.T, answer func(*http.Request) string) *Client {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		text := answer(r)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		io.WriteString(conn, text)
		conn.Close()
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return newTestClient(ln.Addr(), false)
}

// Guards against a response whose status HTTP does not know, or an unasked-for change of the protocol, that
// a side process passes on as one of its service. fasthttp returns 200 for the status 000.
func TestUnknownStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "2000", "-12", "+12", "-00", "20", "abc", ""} {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "\r\n"} {
			t.Run(status+" behind "+before[:min(len(before), 12)], func(t *testing.T) {
				c := startEarlyTarget(t, before+"HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nno", func(*net.TCPConn) {})
				var got []state.AttemptEvent
				_, err := c.Run(t.Context(), testAttempt, &state.Request{Kind: state.PlainCall, Method: "GET", Path: "/x"}, func(e state.AttemptEvent) { got = append(got, e) })
				if unknown := (*side.UnknownOutcomeError)(nil); !errors.As(err, &unknown) || len(got) > 0 {
					t.Errorf("error %v, passed on %+v; want an unknown outcome and nothing passed on", err, got)
				}
			})
		}
	}
}

// Guards against interim responses that hide the final one.
func TestFinalStatusBehindInterimOnesIsPassedOn(t *testing.T) {
	c := startEarlyTarget(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 207 X\r\nContent-Length: 2\r\n\r\nok", func(*net.TCPConn) {})
	if status, body, err := runLongCall(t, c); err != nil || status != http.StatusMultiStatus || body != "ok" {
		t.Errorf("status %d, body %q, error %v; want 207 and \"ok\"", status, body, err)
	}
}

// Guards against a load report, a list of requests or a stream that is believed although its status is none
// of HTTP.
func TestUnknownStatusOfEngineIsNotBelieved(t *testing.T) {
	for _, status := range []string{"000", "600"} {
		t.Run(status, func(t *testing.T) {
			c := startScriptedEngine(t, func(r *http.Request) string {
				body := `{"requests":[]}`
				if r.Method == http.MethodPost || r.URL.Query().Has("from") {
					body = "id: 0\ndata: a\n\nid: 1\ndata: [DONE]\n\n"
				}
				return "HTTP/1.1 " + status + " X\r\nConnection: close\r\n\r\n" + body
			})
			if _, err := c.ListAttempts(t.Context()); err == nil {
				t.Error("a list of requests is believed")
			}
			if err := c.Cancel(t.Context(), testAttempt); err == nil {
				t.Error("a cancellation counts as confirmed")
			}
			_, err := c.Run(t.Context(), testAttempt, &state.Request{Kind: state.Completion, Body: []byte(`{"model":"m"}`)}, func(e state.AttemptEvent) {
				t.Errorf("passed on %+v", e)
			})
			if unknown := (*side.UnknownOutcomeError)(nil); !errors.As(err, &unknown) {
				t.Errorf("error %v, want an unknown outcome", err)
			}
		})
	}
}

// Guards against a response in another version of HTTP than the client speaks that is passed on.
func TestOtherVersionIsNoAnswer(t *testing.T) {
	for _, version := range []string{"0.9", "2.0", "9.9"} {
		t.Run(version, func(t *testing.T) {
			c := startEarlyTarget(t, "HTTP/"+version+" 200 OK\r\nContent-Length: 2\r\n\r\nok", func(*net.TCPConn) {})
			_, err := c.Run(t.Context(), testAttempt, &state.Request{Kind: state.PlainCall, Method: "GET", Path: "/x"}, func(e state.AttemptEvent) {
				t.Errorf("passed on %+v", e)
			})
			if unknown := (*side.UnknownOutcomeError)(nil); !errors.As(err, &unknown) {
				t.Errorf("error %v, want an unknown outcome", err)
			}
		})
	}
}
