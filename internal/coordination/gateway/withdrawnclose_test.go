package gateway

import (
	"testing"
	"testing/synctest"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a cut stream that is believed as promised because its target closes the connection after the
// entry has withdrawn the request: the target had not said that it leaves.
func TestCloseBehindWithdrawalIsNoAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if c := checkOfClose(t, true); c.promised || c.end().PromisedAtBegin {
			t.Errorf("doubt %s, counts as promised", c.doubt)
		}
	})
}

// checkOfClose returns the check of an end behind which a listed target, which answers that it leaves, closes the
// connection: because the entry has withdrawn the request, or as the response had announced.
func checkOfClose(t *testing.T, withdrawn bool) *endCheck {
	a, end := endingAttempt(t, &otherEntry{none: true})
	s := a.request.service
	s.cfg.TargetClient = &fakeTargetClient{liveness: map[state.TargetID]Liveness{a.grant.Target.ID: Leaving}}
	a.request.table = s.table.Load()
	a.handOver = &handOver{attempt: a, withdrawn: withdrawn}
	c := &endCheck{attempt: a, exchange: &fakeExchange{receivedAt: end, closes: true}, arrivedAt: end, timeKnown: true}
	c.findDoubt(&state.Response{AnnouncesClose: !withdrawn})
	c.askTarget()
	return c
}
