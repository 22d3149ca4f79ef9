package gateway

import (
	"context"
	"fmt"
	"testing"
)

// connects does not get a connection before the request is cancelled.
func connects(ctx context.Context, _ *Forward) (Exchange, error) {
	<-ctx.Done()
	return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
}

// Guards against a request that counts as possibly run although its time was up while its
// connection was still being opened: it would be answered 504 instead of 503.
func TestRequestWhoseTimeIsUpWhileConnectingDidNotRun(t *testing.T) {
	for _, path := range []string{"/once/x", "/plain/x", "/stream/x", "/resume/x"} {
		out, _ := serveCall(t, path, connects, connects, connects, connects)
		if out.failure.Kind != NotRun {
			t.Errorf("%s: failure %+v, want that it did not run", path, out.failure)
		}
		out, _ = serveCall(t, path, connectionReset, connects, connects, connects, connects)
		if out.failure.Kind == NotRun {
			t.Errorf("%s: failure %+v although the first target may have run it", path, out.failure)
		}
	}
}
