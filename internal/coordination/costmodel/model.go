package costmodel

import (
	"math"
	"time"
)

// Work is the size of a request. A plain request has none of it.
type Work struct {
	PromptTokens float64
	// OutputTokens is the caller's estimate of the output, 0 if there is none.
	OutputTokens float64
}

// Load is the load of a target just before a request is sent to it.
type Load struct {
	// PendingTokens are the prompt tokens of open requests that have no response yet.
	PendingTokens float64
	// Open is the number of open requests, and Slots how many run at once.
	Open, Slots int
}

// tokensPerUnit scales token counts so that all features are of the same order.
const tokensPerUnit = 1000

// responseFeatures returns the features of the time to the start of a response: a
// constant, the tokens to read before it, the pairs of tokens of its own prompt, and
// the requests in progress.
func responseFeatures(w Work, l Load) vector {
	prompt := w.PromptTokens / tokensPerUnit
	return vector{1, prompt + l.PendingTokens/tokensPerUnit, prompt * prompt, float64(l.Open)}
}

// prior has the coefficients, in milliseconds, in effect before the first observation.
var prior = vector{30, 6, 0, 3}

// priorPoints are the requests that the prior stands for: small, large and beside
// others, and priorWeight is the weight of each.
var priorPoints = []vector{{1, 0, 0, 0}, {1, 0, 0, 10}, {1, 4, 16, 0}, {1, 16, 256, 0}}

const priorWeight = 0.1

const (
	// averageWeight is the weight of one observation in a moving average, once there
	// are more than its reciprocal.
	averageWeight = 0.15
	// maxStep bounds the natural logarithm of the ratio by which one observation may
	// differ from the average, so that a request held up by a fault counts for little.
	maxStep = 1.5
	// maxFitError bounds the same for the fit, whose steps must keep it above 0.
	maxFitError = 0.8
	// minMillis is the shortest time that is told apart.
	minMillis = 0.1
)

// minTargetObservations is the number of observations of a target from which on they
// count for the fit. Before, its ratio is not known well enough.
const minTargetObservations = 3

// clamp limits x to the range from -limit to limit.
func clamp(x, limit float64) float64 { return min(max(x, -limit), limit) }

// logAverage is a moving average of logarithms, and so a geometric mean that follows
// changes. It starts at 0, which counts as one observation, so that a single unusual one
// does not decide it. The zero value has no observation.
type logAverage struct {
	value float64
	count int
}

// observe adds the logarithm x.
func (a *logAverage) observe(x float64) {
	a.count++
	step := x - a.value
	if a.count > 1 {
		step = clamp(step, maxStep)
	}
	a.value += max(averageWeight, 1/float64(a.count+1)) * step
}

// meanAverage is a moving average. The zero value has no observation.
type meanAverage struct {
	value float64
	count int
}

func (a *meanAverage) observe(x float64) {
	a.count++
	a.value += max(averageWeight, 1/float64(a.count)) * (x - a.value)
}

// Service is what the targets of a service have in common.
type Service struct {
	response *regression
	ratio    logAverage // mean of the ratios of the targets, weighted by their observations
	gap      logAverage // of the milliseconds between events
	// events and tokens are decaying sums of the events of responses and of the output
	// tokens estimated for them.
	events, tokens float64
	eventsEach     meanAverage // events of a response
	hold           meanAverage // milliseconds from grant to end
	early          earliness
}

// Target is how one target differs from its service. The zero value is a target of
// which nothing is known.
type Target struct {
	response logAverage // of the ratio of the time to a response to that of the service
	gap      logAverage // of the ratio of the time between events to that of the service
}

// NewService returns a model without observations.
func NewService() *Service {
	return &Service{response: newRegression(prior, priorPoints, priorWeight)}
}

// ObserveResponse records that the response to a request started after took. l is the
// load when it was sent.
func (s *Service) ObserveResponse(t *Target, w Work, l Load, took time.Duration) {
	x := responseFeatures(w, l)
	y := max(minMillis, millis(took))
	if t.response.count == 0 {
		t.response.value = s.ratio.value
	}
	logTook := math.Log(y / max(minMillis, s.response.predict(x)))
	t.response.observe(logTook)
	s.ratio.observe(t.response.value)
	// With all slots in use, the time includes a wait for one.
	if l.Open < l.Slots && t.response.count >= minTargetObservations {
		s.response.observe(x, clamp(logTook-t.response.value, maxFitError))
	}
}

// ObserveEnd records that a request ended after hold with a complete response of the
// given number of events, streamed for streaming.
func (s *Service) ObserveEnd(t *Target, w Work, events int, streaming, hold time.Duration) {
	s.hold.observe(millis(hold))
	if events == 0 {
		return
	}
	s.eventsEach.observe(float64(events))
	if w.OutputTokens > 0 {
		s.events = retention*s.events + float64(events)
		s.tokens = retention*s.tokens + w.OutputTokens
	}
	if events < 2 {
		return
	}
	gap := max(minMillis, millis(streaming)/float64(events-1))
	if s.gap.count == 0 {
		s.gap = logAverage{value: math.Log(gap), count: 1}
	}
	if t.gap.count == 0 {
		t.gap.value = max(0, s.logSlowness(t))
	}
	t.gap.observe(math.Log(gap) - s.gap.value)
	s.gap.observe(math.Log(gap) - t.gap.value)
}

// Response predicts the time until a request's response starts at t.
func (s *Service) Response(t *Target, w Work, l Load) time.Duration {
	ratio := s.responseRatio(t)
	inMillis := ratio*max(minMillis, s.response.predict(responseFeatures(w, l))) + s.slotWait(t, l)
	return time.Duration(inMillis * float64(time.Millisecond))
}

// Duration predicts the time until a request ends at t, without a wait for a slot.
func (s *Service) Duration(t *Target, w Work, l Load) time.Duration {
	l.Open = min(l.Open, max(0, l.Slots-1))
	return s.End(t, w, l)
}

// End predicts the time until a request ends at t, with the wait for a slot.
func (s *Service) End(t *Target, w Work, l Load) time.Duration {
	return s.Response(t, w, l) + s.streaming(t, w)
}

// Typical predicts the times to the start and to the end of a response at a target of
// usual speed without other requests.
func (s *Service) Typical(w Work) (response, duration time.Duration) {
	var t Target
	return s.Response(&t, w, Load{Slots: 1}), s.Duration(&t, w, Load{Slots: 1})
}

// Usual predicts the time that a request takes at a target of usual speed if its response has
// the given number of events; 0 for one that is no stream.
func (s *Service) Usual(w Work, l Load, events int) time.Duration {
	var t Target
	d := s.Response(&t, w, l)
	if events > 1 && s.gap.count > 0 {
		d += time.Duration(float64(events-1) * math.Exp(s.gap.value) * float64(time.Millisecond))
	}
	return d
}

// streaming predicts the time from the first event of a response to its last.
func (s *Service) streaming(t *Target, w Work) time.Duration {
	events := s.eventsEach.value
	if w.OutputTokens > 0 && s.tokens > 0 {
		events = w.OutputTokens * s.events / s.tokens
	}
	if s.gap.count == 0 {
		return 0
	}
	gap := math.Exp(s.gap.value + s.gapRatio(t))
	return time.Duration(max(0, events-1) * gap * float64(time.Millisecond))
}

// slotWait predicts the time in milliseconds until a slot is free for a request that
// is sent when all are in use.
func (s *Service) slotWait(t *Target, l Load) float64 {
	queued := l.Open - l.Slots + 1
	if queued <= 0 || l.Slots == 0 {
		return 0
	}
	return float64(queued) / float64(l.Slots) * s.hold.value * s.relativeHold(t)
}

// relativeHold is the ratio of the time for which t holds a request to that of the
// service.
func (s *Service) relativeHold(t *Target) float64 {
	if t.gap.count > 0 {
		return math.Exp(t.gap.value)
	}
	return math.Exp(s.logSlowness(t))
}

// gapRatio returns the logarithm of the ratio of the time between events of t to that of the
// service. Before the first stream has ended at t, it is as slow as its first responses: a stream
// of 100 events is otherwise sent to a slow target as to any other. Quick first responses do not
// show a quick pace, because they depend on what waits at the target.
func (s *Service) gapRatio(t *Target) float64 {
	if t.gap.count > 0 {
		return t.gap.value
	}
	return max(0, s.logSlowness(t))
}

// logSlowness returns the logarithm of Slowness, or 0 if nothing was observed.
func (s *Service) logSlowness(t *Target) float64 {
	if t.response.count == 0 {
		return 0
	}
	return t.response.value - s.ratio.value
}

// responseRatio returns the ratio of the time to a response at t to the fit of the
// service.
func (s *Service) responseRatio(t *Target) float64 {
	if t.response.count == 0 {
		return math.Exp(s.ratio.value)
	}
	return math.Exp(t.response.value)
}

// Slowness returns how many times as long as usual in the service responses of t take,
// or 0 if none was observed.
func (s *Service) Slowness(t *Target) float64 {
	if t.response.count == 0 {
		return 0
	}
	return math.Exp(t.response.value - s.ratio.value)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
