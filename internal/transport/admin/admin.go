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

// Bounds of the endpoint. Operators and health checks need few connections.
const (
	maxConnections = 64
	readTimeout    = 5 * time.Second
	writeTimeout   = 5 * time.Second
	maxBody        = 4 << 10
)

// Server serves the endpoint of one process.
type Server struct {
	// Ready returns nil when the process may receive new work, and otherwise
	// the reason why not.
	Ready func() error
}

// Serve serves on ln until ctx ends. It returns nil then.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	server := &fasthttp.Server{
		Handler:            s.handle,
		Concurrency:        maxConnections,
		ReadTimeout:        readTimeout,
		WriteTimeout:       writeTimeout,
		MaxRequestBodySize: maxBody,
		CloseOnShutdown:    true,
		Name:               "cassiarampd",
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		stop, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := server.ShutdownWithContext(stop); err != nil && !errors.Is(err, context.DeadlineExceeded) {
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
		s.ready(ctx)
	default:
		ctx.Error("not found\n", fasthttp.StatusNotFound)
	}
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if err := s.Ready(); err != nil {
		ctx.Error("not ready: "+err.Error()+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}
