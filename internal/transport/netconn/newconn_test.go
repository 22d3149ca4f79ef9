package netconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against closing a connection without an answer whose first request is read while the
// server ends: net/http drops requests that it reads after Shutdown has begun.
func TestRequestReadDuringTheEndIsAnswered(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	accepted := make(chan struct{}, 1)
	ending := make(chan struct{})
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "whole") }),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				accepted <- struct{}{}
			}
		},
	}
	server.RegisterOnShutdown(func() { close(ending) })
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, server, ln) }()
	conn, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-accepted
	cancel()
	<-ending
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
}
