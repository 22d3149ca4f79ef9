package daemon

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quarantine"
	"github.com/cassiaramp/cassiaramp/internal/coordination/refusal"
	"github.com/cassiaramp/cassiaramp/platform"
)

// controlOfTwoServices returns a control that knows all origins at the services s and other, with a configuration
// that leads streams to s.
func controlOfTwoServices(t *testing.T, now time.Time) *control {
	t.Helper()
	c := controlWithList(now, twoServices...)
	c.p.gateway = gateway.New(gateway.Config{Origins: c.p.origins})
	c.p.origins.Connected(now, now, now)
	c.setConfiguration(routeTo(1, "s"), "store")
	if o, _, ok := c.p.origins.Find(now, "stream", streamPath); !ok || o.Service != "s" {
		t.Fatalf("before the move: origin %v, known %t", o, ok)
	}
	return c
}

// Guards against an entry that gets the newest configuration from another entry and the ones before it from the
// store later, and takes the service of the newest for the origin of a stream that began by one of those.
func TestConfigurationThatArrivesBehindNewerOne(t *testing.T) {
	now := time.Now()
	c := controlOfTwoServices(t, now)
	c.setConfiguration(routeTo(3, "s"), "another entry")
	c.setConfiguration(routeTo(2, "other"), "store")
	if o, _, ok := c.p.origins.Find(now, "stream", streamPath); ok {
		t.Errorf("origin %v is known of a stream that may have begun by version 2", o)
	}
}

// Guards against an older configuration that arrives behind a newer one and replaces its routes where origins are
// concluded from.
func TestOlderConfigurationDoesNotLeadStreams(t *testing.T) {
	now := time.Now()
	c := controlOfTwoServices(t, now)
	c.setConfiguration(routeTo(3, "s"), "another entry")
	c.setConfiguration(routeTo(2, "other"), "store")
	for end := now.Add(3 * origin.MaxTakeUpTime); now.Before(end); {
		now = now.Add(time.Second)
		c.p.origins.Connected(now, now, now)
	}
	if o, _, ok := c.p.origins.Find(now, "stream", streamPath); !ok || o.Service != "s" {
		t.Errorf("origin %v, known %t; want s", o, ok)
	}
}

// Guards against an entry that hears of a newer configuration, does not have it yet, and takes the service of its
// own one for the origin of a stream that began elsewhere by the newer one.
func TestOriginWhileNewerConfigurationIsElsewhere(t *testing.T) {
	now := time.Now()
	c := controlOfTwoServices(t, now)
	c.onConfigurationReport(now, "b", 2)
	if o, _, ok := c.p.origins.Find(now, "stream", streamPath); ok {
		t.Errorf("origin %v is known of a stream that may have begun by version 2", o)
	}
}

// Guards against an entry that starts between a move and the next write of the services that share routes: it
// reads them once, takes the service of the new configuration for the only one, and does not read them again,
// although another entry tells it of the move.
func TestEntryThatStartsBetweenMoveAndWrite(t *testing.T) {
	now := time.Now()
	_, store := startStore(t)
	writer := controlOfTwoServices(t, now)
	writer.p.store, writer.p.settings = store, &platform.Settings{Instance: "a"}
	writer.p.mesh, _, _ = openMesh(t)
	writer.listReadAt = now
	m := mixedServices{control: writer}
	m.update(t.Context(), now)
	writer.setConfiguration(routeTo(2, "other"), "store")

	starting := controlOfTwoServices(t, now)
	starting.p.store, starting.p.settings = store, &platform.Settings{Instance: "c"}
	starting.p.origins = origin.New(now, false)
	starting.p.gateway = gateway.New(gateway.Config{Origins: starting.p.origins})
	starting.p.origins.SetTargets(now, twoServices)
	starting.setConfiguration(routeTo(2, "other"), "store")
	(&mixedServices{control: starting}).adopt(t.Context())

	writer.p.startedAt, writer.p.control, starting.p.control = now, writer, starting
	writer.p.refusals, writer.p.quarantine, writer.p.counters = refusal.NewLog(), quarantine.New(quarantine.Config{Self: "a"}), gateway.NewCounters(false)
	starting.p.refusals, starting.p.quarantine, starting.p.mesh = refusal.NewLog(), quarantine.New(quarantine.Config{Self: "c"}), writer.p.mesh
	starting.p.handleReport(writer.p.newcomerReport(writer.p.nearReport(now), now), false)

	m.update(t.Context(), now.Add(mixedCheckInterval))
	if stored, err := store.MixedServices(t.Context()); err != nil || len(stored) != 2 {
		t.Fatalf("written %v, error %v", stored, err)
	}
	now = time.Now()
	if !starting.p.origins.Covered(now) { // the services are read again
		return
	}
	if o, _, ok := starting.p.origins.Find(now, "stream", streamPath); ok {
		t.Errorf("origin %v is known of a stream that may have begun before the move, and the services are not read again", o)
	}
}
