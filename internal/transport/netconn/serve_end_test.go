package netconn

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/cassiaramp/cassiaramp/internal/transport/netconn/conntest"
)

// Guards against closing a connection without an answer whose first request is read while the
// server ends: http.Server.Shutdown drops requests that are read after it has begun.
func TestRequestReadDuringTheEndIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := conntest.NewListener()
		ctx, cancel := context.WithCancel(t.Context())
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "whole") })}
		served := make(chan error, 1)
		go func() { served <- Serve(ctx, server, ln) }()
		conn := ln.Dial()
		defer conn.Close()
		synctest.Wait()
		cancel()
		<-ln.Closed()
		synctest.Wait() // the server ends
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		resp.Body.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
}
