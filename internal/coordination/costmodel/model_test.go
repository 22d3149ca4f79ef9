package costmodel

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// engines are simulated engines of one service with the times that the model is to
// learn. The figures are unlike each other and unlike the prior.
type engines struct {
	base, perToken, perPair, perOpen float64 // milliseconds to the start of a response
	perOutputToken                   float64 // milliseconds
	tokensPerEvent                   float64
	slowness                         []float64 // of each engine
	meanPrompt, meanOutput           float64   // tokens
	slots                            int
}

var unlikeEngines = map[string]engines{
	"fast with short prompts":   {base: 4, perToken: 0.001, perOpen: 0.2, perOutputToken: 0.5, tokensPerEvent: 1, slowness: []float64{1, 1, 1}, meanPrompt: 200, meanOutput: 40, slots: 64},
	"slow with long prompts":    {base: 400, perToken: 0.08, perPair: 1e-7, perOpen: 20, perOutputToken: 40, tokensPerEvent: 8, slowness: []float64{1, 2, 4}, meanPrompt: 20000, meanOutput: 500, slots: 4},
	"elevenfold range of speed": {base: 60, perToken: 0.008, perPair: 1e-7, perOpen: 2, perOutputToken: 5, tokensPerEvent: 6, slowness: []float64{0.5, 1, 2, 5.5}, meanPrompt: 3000, meanOutput: 300, slots: 12},
	"plain service":             {base: 65, slowness: []float64{0.5, 1, 3}, slots: 6},
}

// draw returns a request with heavy-tailed sizes and its true output tokens, which the
// caller's estimate misses by up to a factor of three.
func (e engines) draw(random *rand.Rand) (w Work, output float64) {
	lognormal := func(mean float64) float64 { return mean * math.Exp(random.NormFloat64()-0.5) }
	if e.meanPrompt == 0 {
		return Work{}, 0
	}
	output = max(1, lognormal(e.meanOutput))
	return Work{PromptTokens: lognormal(e.meanPrompt), OutputTokens: output * math.Exp(random.NormFloat64()/2)}, output
}

func (e engines) response(i int, w Work, l Load) time.Duration {
	inMillis := e.base + e.perToken*(w.PromptTokens+l.PendingTokens) + e.perPair*w.PromptTokens*w.PromptTokens + e.perOpen*float64(l.Open)
	return time.Duration(e.slowness[i] * inMillis * float64(time.Millisecond))
}

func (e engines) streaming(i int, events int) time.Duration {
	return time.Duration(e.slowness[i] * e.perOutputToken * e.tokensPerEvent * float64(max(0, events-1)) * float64(time.Millisecond))
}

// serve lets the model observe one request at engine i.
func (e engines) serve(s *Service, t *Target, i int, random *rand.Rand) {
	w, output := e.draw(random)
	l := Load{Open: random.IntN(e.slots), Slots: e.slots}
	if random.IntN(2) == 0 {
		pending, _ := e.draw(random)
		l.PendingTokens = pending.PromptTokens
	}
	noise := math.Exp(random.NormFloat64() / 10)
	response := time.Duration(noise * float64(e.response(i, w, l)))
	s.ObserveResponse(t, w, l, response)
	if e.tokensPerEvent == 0 {
		s.ObserveEnd(t, w, 0, 0, response)
		return
	}
	events := int(math.Ceil(output / e.tokensPerEvent))
	streaming := e.streaming(i, events)
	s.ObserveEnd(t, w, events, streaming, response+streaming)
}

func medianError(errors []float64) float64 {
	slices.Sort(errors)
	return errors[len(errors)/2]
}

// Engines that the prior does not fit. Guards against predictions that hold for the
// engines of one site only.
func TestLearnsUnlikeEngines(t *testing.T) {
	for name, e := range unlikeEngines {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			s, targets := NewService(), make([]Target, len(e.slowness))
			const requests = 300
			for range requests {
				i := random.IntN(len(targets))
				e.serve(s, &targets[i], i, random)
			}
			var errors []float64
			for range 200 {
				w, _ := e.draw(random)
				i, l := random.IntN(len(targets)), Load{Open: random.IntN(e.slots), Slots: e.slots}
				errors = append(errors, math.Abs(math.Log(float64(s.Response(&targets[i], w, l))/float64(e.response(i, w, l)))))
			}
			if got, limit := medianError(errors), math.Log(1.25); got > limit {
				t.Errorf("after %d requests the median prediction is off by a factor of %.2f, want 1.25 at most", requests, math.Exp(got))
			}
			if e.tokensPerEvent == 0 {
				return
			}
			// A request whose estimate is right.
			w := Work{PromptTokens: e.meanPrompt, OutputTokens: 10 * e.meanOutput}
			for i := range targets {
				l := Load{Slots: e.slots}
				want := e.response(i, w, l) + e.streaming(i, int(w.OutputTokens/e.tokensPerEvent))
				got := s.Duration(&targets[i], w, l)
				if ratio := float64(got) / float64(want); ratio < 0.5 || ratio > 2 {
					t.Errorf("engine %d: a long request is predicted to take %s, takes %s", i, got, want)
				}
			}
		})
	}
}

// Guards against sending to a target for seconds after it has turned slow.
func TestSlowTargetIsNoticed(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1))
	e := unlikeEngines["elevenfold range of speed"]
	s, targets := NewService(), make([]Target, len(e.slowness))
	for range 300 {
		i := random.IntN(len(targets))
		e.serve(s, &targets[i], i, random)
	}
	w, l := Work{PromptTokens: e.meanPrompt, OutputTokens: e.meanOutput}, Load{Slots: e.slots}
	before := s.Response(&targets[1], w, l)
	e.slowness = slices.Clone(e.slowness)
	e.slowness[1] *= 7
	for range 10 {
		e.serve(s, &targets[1], 1, random)
	}
	if after := s.Response(&targets[1], w, l); after < 3*before {
		t.Errorf("after ten slow responses the prediction went from %s to %s, want it to triple", before, after)
	}
}

// Guards against avoiding a target because of one response that a fault held up.
func TestOneSlowResponseCountsLittle(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	e := unlikeEngines["elevenfold range of speed"]
	s, targets := NewService(), make([]Target, len(e.slowness))
	for range 300 {
		i := random.IntN(len(targets))
		e.serve(s, &targets[i], i, random)
	}
	w, l := Work{PromptTokens: e.meanPrompt}, Load{Slots: e.slots}
	before := s.Response(&targets[1], w, l)
	s.ObserveResponse(&targets[1], w, l, time.Minute)
	if after := s.Response(&targets[1], w, l); after > before*3/2 {
		t.Errorf("one response that took a minute raised the prediction from %s to %s", before, after)
	}
}

// Two kinds of requests that the features do not tell apart, as at a plain service.
// Guards against a fit and ratios that grow without bound against each other: their
// product went from 65 ms to 33 s.
func TestPredictionsStayInRange(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 1))
	s, targets := NewService(), make([]Target, 3)
	fast, slow := 3*time.Millisecond, 65*time.Millisecond
	for n := range 5000 {
		took := slow
		if n%5 == 0 {
			took = fast
		}
		s.ObserveResponse(&targets[random.IntN(3)], Work{}, Load{Open: random.IntN(6), Slots: 6}, took)
		if n < 100 {
			continue
		}
		for i := range targets {
			if got := s.Response(&targets[i], Work{}, Load{Open: 1, Slots: 6}); got < fast || got > 2*slow {
				t.Fatalf("after %d responses of %s and %s, %s is predicted", n, fast, slow, got)
			}
		}
	}
}

// Guards against ignoring the wait for a slot at a target whose slots are all in use.
func TestFullTargetResponseIncludesSlotWait(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	e := unlikeEngines["slow with long prompts"]
	s, targets := NewService(), make([]Target, len(e.slowness))
	for range 300 {
		i := random.IntN(len(targets))
		e.serve(s, &targets[i], i, random)
	}
	w := Work{PromptTokens: e.meanPrompt}
	free := s.Response(&targets[0], w, Load{Open: e.slots - 1, Slots: e.slots})
	full := s.Response(&targets[0], w, Load{Open: e.slots + 1, Slots: e.slots})
	// Requests hold a slot for 20 s on average, so one of four is free after 5 s.
	if full < free+5*time.Second {
		t.Errorf("a response is predicted after %s with a free slot and after %s behind another waiting request", free, full)
	}
}

// A target 4.4 times as slow as the others at which no stream has ended yet. Guards against
// predicting its events at the usual pace, which sent it long streams that their deadline cut off.
func TestSlowTargetIsPredictedToStreamSlowlyFromItsFirstResponses(t *testing.T) {
	s := NewService()
	var usual, slow Target
	w := Work{PromptTokens: 1000, OutputTokens: 100}
	for n := range 120 {
		s.ObserveResponse(&usual, w, Load{Slots: 4}, 50*time.Millisecond)
		s.ObserveEnd(&usual, w, 101, 2*time.Second, 2050*time.Millisecond)
		if n%10 == 0 {
			s.ObserveResponse(&slow, w, Load{Slots: 4}, 220*time.Millisecond)
		}
	}
	if got := s.End(&slow, w, Load{Slots: 4}); got < 6*time.Second || got > 11*time.Second {
		t.Errorf("predicted end after %s, want about 9 s", got)
	}
	s.ObserveEnd(&slow, w, 101, 8800*time.Millisecond, 9020*time.Millisecond)
	if got := s.End(&slow, w, Load{Slots: 4}); got < 7*time.Second || got > 11*time.Second {
		t.Errorf("predicted end after %s once a stream has ended there, want about 9 s", got)
	}
}
