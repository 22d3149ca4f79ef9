package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// unknownOriginRetryAfter is the retry-after time of a caller whose stream has an unknown
// origin. Callers retry at other entries, which may know it.
const unknownOriginRetryAfter = 100 * time.Millisecond

const (
	// In the first originStartTime of a process, a request waits up to maxOriginWait for what
	// the process reads at its start: which services have several versions, and the list of
	// targets.
	originStartTime     = 2 * time.Second
	maxOriginWait       = 300 * time.Millisecond
	originCheckInterval = 10 * time.Millisecond
)

// takesStreamUp reports whether the caller takes up a stream that began in an earlier
// request.
func (r *request) takesStreamUp() bool {
	return r.route.Kind == state.StreamingRoute && r.call.ResumeAfter != ""
}

// findOrigin finds out where a stream that the caller takes up began, and restricts the
// placement to targets of that service and software version. If the origin is unknown, the
// route no longer leads to its service, or its streams may not be resumed, it returns the failure
// to answer with. A caller may send the id of an event although that is so: the configuration
// has changed since its stream began, or its HTTP client does so after any broken connection.
func (r *request) findOrigin(ctx context.Context) *Failure {
	if !r.takesStreamUp() {
		return nil
	}
	if !r.route.Resumable {
		return &Failure{Kind: NotRun, Reason: "not_resumable", RetryAfter: r.capRetryAfter(unknownOriginRetryAfter)}
	}
	source := "here"
	o, question, ok := r.findOriginHere(ctx)
	var err error
	if !ok {
		source = "other_entry"
		if o, err = r.service.cfg.AskOrigin(ctx, question); err != nil {
			source = "unknown"
		}
	}
	r.service.cfg.Counters.Add("stream_taken_up." + source)
	r.log.Info("stream taken up", zap.String("request", string(r.call.ID)), zap.String("route", r.route.Name),
		zap.String("resumes", string(r.call.ResumedRequest)), zap.String("resume_after", r.call.ResumeAfter),
		zap.String("service", string(o.Service)), zap.String("software", string(o.Software)), zap.Strings("candidates", describeOrigins(question.Candidates)),
		zap.String("origin_from", source), zap.NamedError("cause", err))
	if err != nil {
		return &Failure{Kind: NotRun, Reason: "unknown_origin", RetryAfter: r.capRetryAfter(unknownOriginRetryAfter)}
	}
	r.service.cfg.Origins.Found(time.Now(), r.call.ResumedRequest, o)
	if !r.route.LeadsTo(o.Service) {
		return &Failure{Kind: NotRun, Reason: "origin_not_on_route"}
	}
	r.targetService, r.software = o.Service, &o.Software
	r.placement.Service, r.placement.RequiredSoftware = o.Service, r.software
	return nil
}

// describeOrigins returns origins as the log shows them.
func describeOrigins(origins []origin.Origin) []string {
	var described []string
	for _, o := range origins {
		described = append(described, string(o.Service)+"/"+string(o.Software))
	}
	return described
}

// path returns what the configuration leads the request by.
func (r *request) path() origin.Path { return origin.Path{Host: r.call.Host, Path: r.call.Path} }

// findOriginHere finds out where the stream began from what is known here.
func (r *request) findOriginHere(ctx context.Context) (o origin.Origin, question origin.Question, ok bool) {
	for began := time.Now(); ; {
		now := time.Now()
		o, question, ok = r.service.cfg.Origins.Find(now, r.call.ResumedRequest, r.path())
		if ok || now.Sub(r.service.started) > originStartTime || now.Sub(began) >= maxOriginWait {
			return o, question, ok
		}
		select {
		case <-ctx.Done():
			return o, question, false
		case <-time.After(originCheckInterval):
		}
	}
}

// recordOrigin remembers where the stream began. It is called before the first event is
// sent to the caller, who can then take the stream up elsewhere, and name this request or the one
// that it has taken up.
func (r *request) recordOrigin(g *dispatch.Grant) {
	r.software = &g.Target.Software
	if !r.takesStreamUp() {
		r.firstGrant = g
	}
	r.shareOrigin(*r.software)
}

// shareOrigin remembers where the stream began, under the requests that its caller may name, and tells other
// entries of it.
func (r *request) shareOrigin(software state.SoftwareVersion) {
	if !r.route.Resumable {
		return
	}
	began := origin.Origin{Service: r.targetService, Software: software}
	ids := []state.RequestID{r.call.ID}
	if r.takesStreamUp() {
		ids = append(ids, r.call.ResumedRequest)
	}
	ids = slices.DeleteFunc(ids, func(id state.RequestID) bool { return id == "" })
	urgent := false
	for _, id := range ids {
		urgent = r.service.cfg.Origins.Begin(time.Now(), id, began) || urgent
	}
	if urgent {
		r.service.cfg.TellOrigin(began, ids...)
	}
}

// originUnsure reports whether the stream may have begun at either of two software versions: its target was
// listed with another one while it wrote the stream. No conforming target changes its version.
func (r *request) originUnsure() bool { return r.firstGrant != nil && r.firstGrant.Relisted() }

// cannotResume reports whether no target can go on with the stream.
func (r *request) cannotResume() bool { return r.positionUnknown || r.originUnsure() }

// checkOrigin tells that the stream may not be taken up if its origin has become unsure.
func (r *request) checkOrigin() {
	if r.originWithdrawn || !r.originUnsure() {
		return
	}
	r.originWithdrawn = true
	r.service.cfg.Counters.Add("stream_of_unsure_origin")
	r.log.Warn("origin of stream unsure", zap.String("request", string(r.call.ID)), zap.String("target", string(r.firstGrant.Target.ID)), zap.String("chosen_as", string(r.firstGrant.Target.Software)))
	r.shareOrigin(origin.Unsure)
}
