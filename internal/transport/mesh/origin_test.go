package mesh

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against an entry that gives up a question because the first entry that it asks
// knows nothing, and against a wrong answer.
func TestOriginIsAskedUntilOneKnows(t *testing.T) {
	v1 := origin.Origin{Service: "s", Software: "v1"}
	unknown := func(state.RequestID, state.Service) (origin.Origin, bool) { return origin.Origin{}, false }
	known := func(id state.RequestID, service state.Service) (origin.Origin, bool) {
		return v1, id == "stream 1&2" && service == "s"
	}
	a, _ := openMeshWithOrigins(t, Snapshot{}, nil)
	b, _ := openMeshWithOrigins(t, Snapshot{}, unknown)
	c, _ := openMeshWithOrigins(t, Snapshot{}, known)
	if _, err := a.AskOrigin(t.Context(), "stream 1&2", "s"); err == nil {
		t.Error("an origin is known although there is no other entry")
	}
	for name, peer := range map[state.InstanceID]*Mesh{"b": b, "c": c} {
		peer.AddAddress(a.self)
		if err := peer.Send(time.Now(), sameReport(Message{Instance: name, Incarnation: 1, Sequence: 1})); err != nil {
			t.Fatal(err)
		}
	}
	for a.PeerCount(time.Now()) < 2 {
		time.Sleep(time.Millisecond)
	}
	a.mu.Lock()
	a.peers[b.self].firstHeard = time.Now().Add(-time.Minute) // asked first
	a.mu.Unlock()
	o, err := a.AskOrigin(t.Context(), "stream 1&2", "s")
	if diff := cmp.Diff(v1, o); err != nil || diff != "" {
		t.Errorf("error %v, origin (-want +got):\n%s", err, diff)
	}
	if o, err := a.AskOrigin(t.Context(), "other", "s"); err == nil {
		t.Errorf("origin %v of a stream that no entry knows", o)
	}
}

// Guards against origins that are lost or changed in a report.
func TestReportCarriesOrigins(t *testing.T) {
	a, received := openMesh(t, Snapshot{})
	b, _ := openMesh(t, Snapshot{})
	b.AddAddress(a.self)
	want := []origin.Notes{{Origin: origin.Origin{Service: "s", Software: "v1.1"}, Streams: []uint64{1, 1 << 63}}}
	if err := b.Send(time.Now(), sameReport(Message{Instance: "b", Incarnation: 1, Sequence: 1, Origins: want})); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, (<-received).Origins, cmp.AllowUnexported(origin.Notes{})); diff != "" {
		t.Errorf("origins (-want +got):\n%s", diff)
	}
}
