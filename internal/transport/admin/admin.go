// Package admin serves the operators' HTTP endpoint of a process: /debug/vars
// (expvar), /healthz and /readyz.
package admin

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"
)

// Limits of the endpoint. Operators and health checks need few connections.
const (
	maxConnections = 64
	readTimeout    = 5 * time.Second
	writeTimeout   = 5 * time.Second
	maxRequestBody = 4 << 10 // bytes
)

// Server serves the endpoint of one process.
type Server struct {
	// Ready returns nil when the process may receive new work, and otherwise
	// the reason why not.
	Ready func() error
}

// Serve serves the endpoint on ln until ctx ends. It returns nil after a shutdown
// by ctx, also when requests were still open at the end of the shutdown timeout.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	server := &fasthttp.Server{
		Handler:            s.handle,
		Concurrency:        maxConnections,
		ReadTimeout:        readTimeout,
		WriteTimeout:       writeTimeout,
		MaxRequestBodySize: maxRequestBody,
		CloseOnShutdown:    true,
		Name:               "cassiarampd",
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := server.ShutdownWithContext(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		return nil
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/debug/vars":
		expvarhandler.ExpvarHandler(ctx)
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		s.handleReady(ctx)
	default:
		ctx.Error("not found\n", fasthttp.StatusNotFound)
	}
}

func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	if err := s.Ready(); err != nil {
		ctx.Error("not ready: "+err.Error()+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}
