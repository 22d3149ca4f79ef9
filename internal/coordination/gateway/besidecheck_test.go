package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/quarantine"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// slowCheckTargets are targets that run and answer a check of that after a while.
type slowCheckTargets struct {
	*fakeTargetClient
	takes time.Duration
}

func (c slowCheckTargets) CheckRunning(ctx context.Context, _ *state.TargetRecord, _ string) RunCheck {
	select {
	case <-time.After(c.takes):
		return RunCheck{Liveness: Running}
	case <-ctx.Done():
		return RunCheck{}
	}
}

// Refuses reports that targets have crashed.
func (slowCheckTargets) Refuses(context.Context, string) bool { return true }

// inDoubt answers after d with a whole response whose target announces the close of its connection.
func inDoubt(d time.Duration) behaviour { return afterwards(d, closingBehind(Running, true, "whole")) }

// Guards against a whole answer that is thrown away while the end of its target is checked, because the
// attempt beside it fails or is given up: its request has run, so that nothing is left to be prevented.
func TestWholeAnswerOutlastsTheAttemptBesideIt(t *testing.T) {
	crash := func(context.Context, *Forward) (Exchange, error) { return &fakeExchange{headErr: io.EOF}, nil }
	for _, c := range []struct {
		name    string
		next    []behaviour
		prepare func(s *Service)
	}{
		{"request is suspected of a crash", []behaviour{afterwards(400*time.Millisecond, crash), inDoubt(100 * time.Millisecond)}, func(s *Service) {
			keys := quarantine.ContentKeys("c", &state.Call{Host: "h", Path: "/plain/x", APIKey: "key"})
			time.AfterFunc(350*time.Millisecond, func() {
				s.cfg.Quarantine.RecordCrash(time.Now(), &quarantine.Crash{
					Request: quarantine.Request{Service: "s", Keys: keys, Customer: "c"}, Target: state.TargetRecord{ID: "t9", Service: "s", Address: "t9"}, SentAt: time.Now().Add(-time.Millisecond), EndedAt: time.Now(),
				})
			})
		}},
		{"another target takes over", []behaviour{silentTarget, inDoubt(100 * time.Millisecond), silentTarget}, func(*Service) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, targets, s := hedgedCall(t, "/plain/x", func(s *Service, _ func()) {
				s.cfg.TargetClient = slowCheckTargets{s.cfg.TargetClient.(*fakeTargetClient), 200 * time.Millisecond}
				config := *s.Configuration()
				config.Version++
				config.Routes = []state.Route{route("plain", "/plain/", state.IdempotentRoute, false, 3)}
				s.SetConfiguration(&config)
				c.prepare(s)
			}, c.next...)
			if n := s.cfg.Counters.counts["repeated_send.s"]; out.body.String() != "whole" || len(targets.sends) != 2 {
				t.Errorf("%q after %d sends, %d permissions, failure %+v; want the whole answer after 2", out.body.String(), len(targets.sends), n, out.failure)
			}
		})
	}
}
