package daemon

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quarantine"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quota"
	"github.com/cassiaramp/cassiaramp/internal/coordination/ratelimit"
	"github.com/cassiaramp/cassiaramp/internal/coordination/refusal"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn/conntest"
	"github.com/cassiaramp/cassiaramp/internal/transport/upstream"
	"github.com/cassiaramp/cassiaramp/platform"
)

// openMesh returns a mesh on loopback, its address and the reports that it receives.
func openMesh(t *testing.T) (*mesh.Mesh, netip.AddrPort, <-chan mesh.Message) {
	t.Helper()
	address := netip.AddrPortFrom(conntest.Address(t), 7600)
	m, err := mesh.New(address, func() mesh.Snapshot { return mesh.Snapshot{} }, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	received, done := make(chan mesh.Message, 16), make(chan struct{})
	go func() {
		defer close(done)
		m.Receive(ctx, func(msg *mesh.Message, _ bool) { received <- *msg }, func(netip.AddrPort, error) {})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return m, address, received
}

// nextReport returns the next report, and fails the test if there is none in 10 s.
func nextReport(t *testing.T, reports <-chan mesh.Message) mesh.Message {
	t.Helper()
	select {
	case m := <-reports:
		return m
	case <-time.After(10 * time.Second):
		t.Fatal("no report in 10 s")
		return mesh.Message{}
	}
}

// Guards against delaying a change of the list of targets until the next regular report
// to all entries, because entries that are not near would send to a target that has
// left.
func TestChangeOfListIsReportedAtOnce(t *testing.T) {
	own, ownAddress, heard := openMesh(t)
	far, _, received := openMesh(t)
	far.AddAddress(ownAddress)
	p := &gatewayProcess{
		log: zap.NewNop(), mesh: own, targetClient: upstream.New(), settings: &platform.Settings{Instance: "a"}, incarnation: 1,
		gateway: gateway.New(gateway.Config{Origins: origin.New(time.Now(), true)}), quota: quota.New(quota.Config{Tolerance: quota.Tolerance{Window: time.Second}}), refusals: refusal.NewLog(), origins: origin.New(time.Now(), true),
		rollout: bundle.NewRollout(state.Signers{}), counters: gateway.NewCounters(false), quarantine: quarantine.New(quarantine.Config{Self: "a"}),
	}
	p.scheduler = dispatch.New("a", 1, time.Now, p, ratelimit.New(ratelimit.Config{Self: "self"}))
	p.control = newControl(p)
	now := time.Now()
	farReport := &mesh.Message{Instance: "b", Incarnation: 1, Sequence: 1}
	if err := far.Send(now, mesh.Reports{Near: farReport, Far: farReport, Newcomer: func() *mesh.Message { return farReport }}); err != nil {
		t.Fatal(err)
	}
	nextReport(t, heard)
	r := reporter{p: p, started: now.Add(-time.Minute)}
	r.tick(now)
	if m := nextReport(t, received); m.ListHash != 0 {
		t.Errorf("list with hash %d is reported before it was read", m.ListHash)
	}
	p.control.listReadAt = now
	p.control.list.Put(state.TargetRecord{ID: "t", Service: "s"})
	p.control.publish(now)
	r.tick(now.Add(time.Millisecond))
	if m := nextReport(t, received); m.Change == nil || len(m.Change.Put) != 1 {
		t.Errorf("change %+v is reported, want the new target", m.Change)
	}
	r.tick(now.Add(2 * time.Millisecond))
	select {
	case m := <-received:
		t.Errorf("report %d is sent although none is due", m.Sequence)
	default:
	}
}
