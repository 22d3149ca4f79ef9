package daemon

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
	"github.com/cassiaramp/cassiaramp/platform"
)

// Limits of the readiness check. The platform asks every second, with a short header section.
const (
	readinessTimeout        = 2 * time.Second // of reading a request, and of writing the answer
	maxReadinessHeaderBytes = 4 << 10
	// maxReadinessConnections is some hundred times what the platform needs, so that its
	// probe is answered before as many others have connected.
	maxReadinessConnections = 64
	// readinessIdleTimeout is the time after which an idle connection is closed.
	readinessIdleTimeout = 10 * time.Second
)

// newReadinessServer returns the server of the platform's readiness check. It accepts no body.
func (p *gatewayProcess) newReadinessServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := p.checkReady(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	connections := &netconn.OldestCloser{Max: maxReadinessConnections}
	return &http.Server{
		Handler: netconn.RejectBodies(mux), ReadTimeout: readinessTimeout, WriteTimeout: readinessTimeout, IdleTimeout: readinessIdleTimeout,
		MaxHeaderBytes: maxReadinessHeaderBytes, ConnState: connections.Track, ErrorLog: zap.NewStdLog(p.log),
	}
}

// serveReadiness serves the platform's readiness check.
func (p *gatewayProcess) serveReadiness(ctx context.Context) error {
	ln, err := netconn.Listen(ctx, p.settings.Readiness.String(), p.log.With(zap.String("listener", "readiness")))
	if err != nil {
		return fmt.Errorf("listen for readiness: %w", err)
	}
	return netconn.Serve(ctx, p.newReadinessServer(), ln)
}
