package mesh

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against entries that are not asked, answers that are changed on the way or taken for those of
// another moment, and an entry that does not answer and withholds the answers of others.
func TestTargetEndIsAskedOfAllEntries(t *testing.T) {
	own := openMeshWithEnds(t, nil)
	if answers, err := own.AskTargetEnd(t.Context(), "t", "address"); err != nil || len(answers) > 0 {
		t.Errorf("answers %v, error %v, although there is no other entry", answers, err)
	}
	ends := map[state.InstanceID]targetend.Seen{
		"b": {Open: []time.Duration{time.Millisecond}, Ended: []time.Duration{2, 3}},
		"c": {Refusing: time.Second},
	}
	report := func(m *Mesh, name state.InstanceID) {
		m.AddAddress(own.self)
		if err := m.Send(time.Now(), sameReport(Message{Instance: name, Incarnation: 1, Sequence: 1})); err != nil {
			t.Fatal(err)
		}
	}
	for name, seen := range ends {
		report(openMeshWithEnds(t, func(id state.TargetID, address string) targetend.Seen {
			if id != "t 1&2" || address != "127.0.0.1:1" {
				return targetend.Seen{}
			}
			return seen
		}), name)
	}
	report(openMeshWithEnds(t, func(state.TargetID, string) targetend.Seen {
		time.Sleep(2 * targetEndTimeout)
		return targetend.Seen{}
	}), "silent")
	for own.PeerCount(time.Now()) < 3 {
		time.Sleep(time.Millisecond)
	}
	asked := time.Now()
	answers, err := own.AskTargetEnd(t.Context(), "t 1&2", "127.0.0.1:1")
	if err == nil {
		t.Error("no error of the entry that does not answer")
	}
	var got []targetend.Seen
	for _, r := range answers {
		got = append(got, r.Seen)
		if r.Earliest.Before(asked) || r.Latest.Before(r.Earliest) || r.Latest.After(time.Now()) {
			t.Errorf("answer between %s and %s, asked at %s", r.Earliest, r.Latest, asked)
		}
	}
	if len(answers) == 2 && (answers[0].Entry == "" || answers[0].Entry == answers[1].Entry) {
		t.Errorf("entries %q and %q, want that they are told apart", answers[0].Entry, answers[1].Entry)
	}
	if len(got) == 2 && got[0].Refusing > 0 {
		got[0], got[1] = got[1], got[0]
	}
	if diff := cmp.Diff([]targetend.Seen{ends["b"], ends["c"]}, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

// Guards against entries that use other targets and are asked in place of those that use the same ones.
func TestNearEntriesAreAskedFirst(t *testing.T) {
	now := time.Now()
	near, far, lost := netip.MustParseAddrPort("127.0.0.3:1"), netip.MustParseAddrPort("127.0.0.2:1"), netip.MustParseAddrPort("127.0.0.1:1")
	m := &Mesh{positionValid: true, peers: map[netip.AddrPort]*peer{
		near: {near: true, lastHeard: now}, far: {lastHeard: now}, lost: {near: true, lastHeard: now.Add(-2 * heardLately)},
	}}
	if diff := cmp.Diff([]netip.AddrPort{near, far}, m.nearestHeard(now, 3), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
	if got := m.nearestHeard(now, 1); len(got) != 1 || got[0] != near {
		t.Errorf("asks %v, want the near entry", got)
	}
}
