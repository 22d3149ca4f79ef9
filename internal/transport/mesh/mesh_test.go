package mesh

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/ratelimit"
	"github.com/cassiaramp/cassiaramp/internal/coordination/rollout"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// openMesh returns a mesh on loopback that serves snapshot, and the reports that it
// receives.
func openMesh(t *testing.T, snapshot Snapshot) (*Mesh, <-chan Message) {
	t.Helper()
	return openMeshWithOrigins(t, snapshot, nil)
}

// openMeshWithOrigins returns a mesh as openMesh does, which answers questions for origins
// by findOrigin.
func openMeshWithOrigins(t *testing.T, snapshot Snapshot, findOrigin FindOrigin) (*Mesh, <-chan Message) {
	t.Helper()
	return openAnsweringMesh(t, snapshot, findOrigin, nil)
}

// openMeshWithEnds returns a mesh that answers questions for the ends of targets by findTargetEnd.
func openMeshWithEnds(t *testing.T, findTargetEnd FindTargetEnd) *Mesh {
	t.Helper()
	m, _ := openAnsweringMesh(t, Snapshot{}, nil, findTargetEnd)
	return m
}

func openAnsweringMesh(t *testing.T, snapshot Snapshot, findOrigin FindOrigin, findTargetEnd FindTargetEnd) (*Mesh, <-chan Message) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(ln.Addr().(*net.TCPAddr).AddrPort(), func() Snapshot { return snapshot }, findOrigin, findTargetEnd)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	received := make(chan Message, 16)
	done := make(chan struct{}, 2)
	go func() {
		m.Receive(ctx, func(msg *Message, _ bool) { received <- *msg }, func(netip.AddrPort, error) {})
		done <- struct{}{}
	}()
	go func() {
		if err := m.ServeEntries(ctx, ln); err != nil {
			t.Error(err)
		}
		done <- struct{}{}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
	})
	return m, received
}

// sameReport sends m to all groups of receivers.
func sameReport(m Message) Reports {
	return Reports{Near: &m, Far: &m, Newcomer: func() *Message { return &m }}
}

// Guards against entries that do not find each other, and against addresses of known
// entries that are missing from reports.
func TestEntriesFindEachOther(t *testing.T) {
	a, toA := openMesh(t, Snapshot{})
	b, _ := openMesh(t, Snapshot{})
	c, toC := openMesh(t, Snapshot{})
	_ = toA
	b.AddAddress(a.self)
	a.AddAddress(b.self)
	now := time.Now()
	if err := b.Send(now, sameReport(Message{Instance: "b", Incarnation: 1, Sequence: 1})); err != nil {
		t.Fatal(err)
	}
	<-toA
	c.AddAddress(a.self)
	if err := c.Send(now, sameReport(Message{Instance: "c", Incarnation: 1, Sequence: 1})); err != nil {
		t.Fatal(err)
	}
	<-toA
	if n := a.PeerCount(now); n != 2 {
		t.Errorf("a has %d peers, want 2", n)
	}
	if err := a.Send(now, sameReport(Message{Instance: "a", Incarnation: 1, Sequence: 1})); err != nil {
		t.Fatal(err)
	}
	<-toC
	if got := c.fetchCandidates(""); len(got) != 2 {
		t.Errorf("c knows the addresses %v, want those of a and, learned from a, of b", got)
	}
}

// Guards against a late or repeated report that replaces a newer one, and against a
// datagram that cannot be decoded and stops the receiver.
func TestOldReportsAreIgnored(t *testing.T) {
	a, received := openMesh(t, Snapshot{})
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(a.self))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	send := func(m Message) {
		b, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	send(Message{Instance: "b", Incarnation: 1, Sequence: 5})
	if _, err := conn.Write([]byte("noise")); err != nil {
		t.Fatal(err)
	}
	send(Message{Instance: "b", Incarnation: 1, Sequence: 4})
	send(Message{Instance: "b", Incarnation: 1, Sequence: 5})
	send(Message{Instance: "b", Incarnation: 2, Sequence: 1}) // after a restart
	if m := <-received; m.Sequence != 5 {
		t.Errorf("first report has the sequence number %d, want 5", m.Sequence)
	}
	if m := <-received; m.Incarnation != 2 {
		t.Errorf("report %d of incarnation %d was handled, want the first one of incarnation 2", m.Sequence, m.Incarnation)
	}
}

// Guards against an entry that cannot get the configuration and the targets while the
// store does not answer it, and against snapshots that repeat what it has.
func TestFetch(t *testing.T) {
	want := Snapshot{
		Configuration: &state.Configuration{Version: 9, Routes: []state.Route{{Name: "r", Timeout: time.Second}}},
		Targets:       []state.TargetRecord{{ID: "t", Service: "s", Slots: 3}}, Age: time.Second, ListHash: 5,
	}
	a, _ := openMesh(t, want)
	b, _ := openMesh(t, Snapshot{})
	if _, _, err := b.Fetch(t.Context(), "", KnownVersions{ConfigurationVersion: 8}); err == nil {
		t.Error("Fetch succeeded without any other entry")
	}
	b.AddAddress(a.self)
	got, from, err := b.Fetch(t.Context(), "", KnownVersions{ConfigurationVersion: 8})
	if err != nil {
		t.Fatal(err)
	}
	if from != a.self || got.Configuration.Version != 9 || got.Configuration.Routes[0].Timeout != time.Second ||
		len(got.Targets) != 1 || got.Targets[0] != want.Targets[0] || got.Age != time.Second {
		t.Errorf("snapshot %+v from %s", got, from)
	}
	if got, _, err = b.Fetch(t.Context(), "", KnownVersions{ConfigurationVersion: 9, ListHash: want.ListHash}); err != nil || got.Configuration != nil || got.Targets != nil {
		t.Errorf("snapshot %+v, error %v; want no error and nothing that the requesting entry has", got, err)
	}
}

// Guards against a fetch that asks only entries which have just been killed and waits for
// each of them, although another one answers.
func TestHeardEntriesAreAskedFirst(t *testing.T) {
	m, _ := openMesh(t, Snapshot{})
	heard := netip.MustParseAddrPort("127.0.0.1:1")
	for i := range 2 * maxFetchAttempts {
		silent := netip.AddrPortFrom(heard.Addr(), uint16(2+i))
		m.peers[silent] = &peer{instance: "silent", configurationVersion: 8, lastHeard: time.Now().Add(-2 * heardLately)}
	}
	m.peers[heard] = &peer{instance: "heard", configurationVersion: 8, lastHeard: time.Now()}
	for _, preferred := range []state.InstanceID{"", "silent"} {
		if got := m.fetchCandidates(preferred); len(got) == 0 || got[0] != heard {
			t.Errorf("preferred %q: %v are asked, want %s first", preferred, got, heard)
		}
	}
}

// Guards against treating all of a hundred entries as near, which would send each of
// them reports at the short interval, and against wrong numbers of addresses in reports.
func TestReportsToNearAndFarEntries(t *testing.T) {
	m, _ := openMesh(t, Snapshot{})
	const others = 99
	for i := range others {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 1)
		m.accept(a, &Message{Instance: state.InstanceID(a.String()), Incarnation: 1, Sequence: 1})
	}
	now := time.Now()
	if p := m.Position(now); p.Count != others+1 {
		t.Fatalf("position %+v, want one of %d", p, others+1)
	}
	near := 0
	for _, p := range m.peers {
		if p.near {
			near++
		}
	}
	if near != dispatch.NearEntries {
		t.Errorf("%d entries are near, want %d", near, dispatch.NearEntries)
	}
	var newcomerReport *Message
	reports := Reports{Near: &Message{}, Far: &Message{}, Newcomer: func() *Message { newcomerReport = &Message{}; return newcomerReport }}
	if err := m.Send(now, reports); err != nil {
		t.Fatal(err)
	}
	if len(newcomerReport.KnownAddresses) != maxNewcomerAddresses || len(reports.Far.KnownAddresses) != maxRegularAddresses {
		t.Errorf("reports have %d addresses for newcomers and %d for far entries, want %d and %d",
			len(newcomerReport.KnownAddresses), len(reports.Far.KnownAddresses), maxNewcomerAddresses, maxRegularAddresses)
	}
	newcomerReport = nil
	if err := m.Send(now.Add(2*newcomerTime), reports); err != nil {
		t.Fatal(err)
	}
	if newcomerReport != nil {
		t.Error("entries that started long ago get the report for newcomers")
	}
}

// Guards against sending packets at the full rate for ever to entries that disappeared
// without announcing it, and against giving up on them: entries must find each other
// again after a network partition.
func TestSilentAddressesAreContactedLessOften(t *testing.T) {
	m, _ := openMesh(t, Snapshot{})
	a := netip.MustParseAddrPort("127.0.0.1:9")
	m.AddAddress(a)
	now := time.Now()
	attempts := 0
	for range 600 {
		before := m.unheard[a].lastAttempt
		if err := m.Send(now, sameReport(Message{})); err != nil {
			t.Fatal(err)
		}
		if m.unheard[a].lastAttempt != before {
			attempts++
		}
		now = now.Add(100 * time.Millisecond)
	}
	if most := int(time.Minute/maxContactPause) + 6; attempts > most || attempts < int(time.Minute/maxContactPause) {
		t.Errorf("%d reports to a silent address in a minute, want up to %d", attempts, most)
	}
}

// Guards against a note of a limit that another entry reads differently, such as an end
// that looks like nothing, or a limit of 0 that looks like none.
func TestNotesOfLimitsKeepTheirMeaning(t *testing.T) {
	sent := Message{Limits: map[state.TargetID]ratelimit.Note{
		"zero":  {Observed: true, Limit: state.RateLimit{Stated: true}, AgeMillis: 7, InForce: true},
		"ended": {Observed: true, AgeMillis: 1200},
		"lends": {InForce: true, Lends: true, Idle: true},
		"usual": {Observed: true, Limit: state.RateLimit{PerSecond: 4.9, Stated: true}, InForce: true},
	}}
	b, err := encMode.Marshal(&sent)
	if err != nil {
		t.Fatal(err)
	}
	var received Message
	if err := cbor.Unmarshal(b, &received); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sent, received); diff != "" {
		t.Errorf("report after transmission (-sent +received):\n%s", diff)
	}
}

// Guards against a plan whose time limit moves with each entry that fetches it, because an
// encoded snapshot is kept and sent again later.
func TestPlansInSnapshotsKeepTheirLimit(t *testing.T) {
	const left, pause = 10 * time.Second, 100 * time.Millisecond
	a, _ := openMesh(t, Snapshot{Plans: []rollout.Plan{{Order: rollout.Order{Service: "s", To: "v2"}, Number: 1, Phase: rollout.Trial, TimeLeft: left}}, PlansComplete: true})
	b, _ := openMesh(t, Snapshot{})
	b.AddAddress(a.self)
	for n := range 2 {
		s, _, err := b.Fetch(t.Context(), "", KnownVersions{})
		if err != nil || len(s.Plans) != 1 || !s.PlansComplete {
			t.Fatalf("snapshot %+v, %v; want one plan", s, err)
		}
		if most := left - time.Duration(n)*pause; s.Plans[0].TimeLeft > most {
			t.Errorf("fetch %d: %s left, want at most %s", n, s.Plans[0].TimeLeft, most)
		}
		time.Sleep(pause)
	}
}

// Guards against reports of roll-outs that are decoded differently from how they were encoded.
func TestReportsOfRollouts(t *testing.T) {
	want := &rollout.Report{Incarnation: 5, Sequence: 6, Services: []rollout.ServiceNote{{
		Plan: rollout.PlanNote{Service: "s", To: "v2", DurationMillis: 12000, Era: 1, Offset: 2, Number: 3, Phase: rollout.Handover, From: []state.SoftwareVersion{"v1"}, TimeLeftMillis: -4},
		Bad:  "failures", Drained: true, OldMillis: 7, Routes: []rollout.RouteNote{{Route: 8, OldTimes: []byte{1}}}, Targets: []rollout.TargetNote{{Target: 9, New: true, Times: []byte{2}}},
	}}}
	b, err := encMode.Marshal(&Message{Rollouts: want})
	if err != nil {
		t.Fatal(err)
	}
	var got Message
	if err := cbor.Unmarshal(b, &got); err != nil || !reflect.DeepEqual(got.Rollouts, want) {
		t.Errorf("report %+v, %v, want %+v", got.Rollouts, err, want)
	}
}

// Guards against a snapshot that was cut off on the way, or changed, and is taken for whole.
func TestTruncatedSnapshotIsAnError(t *testing.T) {
	s := Snapshot{Targets: []state.TargetRecord{{ID: "t", Service: "s", Slots: 3}}, ListHash: 5}
	body, _, err := new(snapshotCache).encode(&s)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeSnapshot(bytes.NewReader(body)); err != nil || len(got.Targets) != 1 {
		t.Fatalf("snapshot %+v, error %v", got, err)
	}
	for n := range body {
		if _, err := decodeSnapshot(bytes.NewReader(body[:n])); err == nil {
			t.Errorf("%d of %d bytes: no error", n, len(body))
		}
	}
	changed := bytes.Clone(body)
	changed[len(changed)-5]++ // of the checksum
	if _, err := decodeSnapshot(bytes.NewReader(changed)); err == nil {
		t.Error("another checksum: no error")
	}
}
