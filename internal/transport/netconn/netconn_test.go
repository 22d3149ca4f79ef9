package netconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/transport/netconn/conntest"
)

// Guards against cutting off a request that was read just before the server ends, such as
// one that is being refused at the end of a planned stop.
func TestRequestInProgressIsAnsweredAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := conntest.NewListener()
		ctx, cancel := context.WithCancel(t.Context())
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			cancel()
			<-ln.Closed()
			time.Sleep(endTimeout / 2) // the server ends
			io.WriteString(w, "whole")
		})}
		ended := make(chan error, 1)
		go func() { ended <- Serve(ctx, server, ln) }()
		conn := ln.Dial()
		defer conn.Close()
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("request in progress: %v", err)
		}
		defer resp.Body.Close()
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "whole" {
			t.Errorf("body %q, error %v, want the whole response", body, err)
		}
		if err := <-ended; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
}

// Guards against a server that waits without limit for a handler that does not end.
func TestServeEndsAlthoughAHandlerDoesNot(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stuck := make(chan struct{})
	defer close(stuck)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		cancel()
		<-stuck
	})}
	go func() {
		if resp, err := http.Get("http://" + ln.Addr().String()); err == nil {
			resp.Body.Close()
		}
	}()
	if err := Serve(ctx, server, ln); err != nil {
		t.Errorf("Serve: %v", err)
	}
}

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
