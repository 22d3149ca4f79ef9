package gateway

import (
	"context"
	"errors"
	"time"
)

// errStopping is the cause for which the requests in progress are cancelled at the end of a
// planned stop.
var errStopping = errors.New("planned stop of the entry")

// StopBy begins the end of a planned stop, as dispatch.Scheduler.StopBy says.
func (s *Service) StopBy(end time.Time) { s.cfg.Scheduler.StopBy(end) }

// EndRequests ends the requests in progress, and those that come later, at the end of a
// planned stop. One that was not sent is refused as not run, one without a response is
// answered as unknown, and a stream that has begun is aborted.
func (s *Service) EndRequests() { s.endRequests() }

// untilStopped returns a context that also ends with EndRequests. release frees what it
// holds.
func (s *Service) untilStopped(ctx context.Context) (_ context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.running, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
