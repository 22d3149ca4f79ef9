package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
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
	"github.com/cassiaramp/cassiaramp/internal/emulator"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
	"github.com/cassiaramp/cassiaramp/internal/transport/upstream"
	"github.com/cassiaramp/cassiaramp/platform"
)

// storeTest is an entry's control that follows an emulated store, without other entries.
type storeTest struct {
	t       *testing.T
	store   *emulator.Store
	control *control
}

// waitLimit bounds the wait for something that happens within a second or two. It is below
// configurationReadWait, after which an entry reads again in any case.
const waitLimit = 10 * time.Second

func newStoreTest(t *testing.T) *storeTest { return newEntryTest(t, emulator.NewStore(), "self") }

// newEntryTest returns the control of an entry with the given name that follows a store.
func newEntryTest(t *testing.T, store *emulator.Store, name state.InstanceID) *storeTest {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go store.Serve(ln)
	p := &gatewayProcess{
		log: zap.NewNop(), targetClient: upstream.New(), gateway: gateway.New(gateway.Config{Origins: origin.New(time.Now(), true)}), quota: quota.New(quota.Config{}), rollout: bundle.NewRollout(state.Signers{}),
		store: platform.NewStore(ln.Addr().String()), counters: gateway.NewCounters(false), startedAt: time.Now(),
		settings: &platform.Settings{Instance: name, IP: netip.MustParseAddr("127.0.0.1"), FirstPort: 7600},
	}
	p.scheduler = dispatch.New("a", 1, time.Now, p, ratelimit.New(ratelimit.Config{Self: "self"}))
	p.origins = origin.New(p.startedAt, true)
	p.quarantine = quarantine.New(quarantine.Config{Self: "self"})
	p.control = newControl(p)
	if p.mesh, err = mesh.New(netip.MustParseAddrPort("127.0.0.1:0"), p.control.snapshot, p.findOrigin, nil); err != nil {
		t.Fatal(err)
	}
	return &storeTest{t: t, store: store, control: p.control}
}

// start runs the control until the test ends.
func (s *storeTest) start() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.control.run(ctx)
	}()
	s.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// putConfiguration appends a version of the configuration, which has no routes.
func (s *storeTest) putConfiguration(version int64) {
	b, err := json.Marshal(map[string]any{"Version": version})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put(platform.ConfigurationTopic, platform.ConfigurationKey, b)
}

// putTarget appends the record of a target.
func (s *storeTest) putTarget(id, state string) {
	s.store.Put(platform.TargetTopic, id, fmt.Appendf(nil, `{"Service":"s","Address":"127.0.0.1:1","State":%q,"born":7}`, state))
}

// wait waits until condition holds.
func (s *storeTest) wait(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not seen within %s: %s", waitLimit, what)
		}
	}
}

func (s *storeTest) waitVersion(version int64) {
	s.t.Helper()
	s.wait(fmt.Sprintf("configuration %d in effect", version), func() bool {
		c := s.control.p.gateway.Configuration()
		return c != nil && c.Version == version
	})
}

// Guards against changes of the configuration that are skipped after the store has come
// back from an older copy: it gives out offsets again, and an entry that reads on from its
// own misses the records below.
func TestConfigurationChangesAfterStoreIsRestored(t *testing.T) {
	t.Parallel()
	s := newStoreTest(t)
	s.putConfiguration(1)
	older := s.store.Copy()
	s.putConfiguration(2)
	s.putConfiguration(3)
	s.putTarget("a", "ready")
	s.start()
	s.waitVersion(3)
	s.store.Unavailable.Store(true)
	s.store.Restore(older)
	s.putConfiguration(3)
	s.putConfiguration(4) // the next record gets the offset that the entry waits at
	s.store.Unavailable.Store(false)
	s.waitVersion(4)
	s.putConfiguration(5)
	s.waitVersion(5)
}

// Guards against an older configuration that replaces a newer one, because the store has
// come back without it.
func TestConfigurationOutlivesRestoredStore(t *testing.T) {
	t.Parallel()
	s := newStoreTest(t)
	s.putConfiguration(1)
	older := s.store.Copy()
	s.putConfiguration(2)
	s.start()
	s.waitVersion(2)
	s.store.Restore(older)
	s.putTarget("a", "ready") // read after the configuration has been listed again
	s.wait("target listed", func() bool { return s.control.targetCount() == 1 })
	s.waitVersion(2)
	s.putConfiguration(3)
	s.waitVersion(3)
}

// Guards against a configuration that takes effect nowhere for up to 22 s, because the
// store leaves the waiting reads of all entries unanswered.
func TestConfigurationWithUnansweredReads(t *testing.T) {
	t.Parallel()
	s := newStoreTest(t)
	s.putConfiguration(1)
	s.store.HoldWaitingReads.Store(true)
	s.start()
	s.waitVersion(1)
	s.putConfiguration(2)
	s.waitVersion(2)
}

// Guards against a read that goes on to wait for an offset which the store has not yet given
// out again, although another topic has shown that it came back from an older copy.
func TestWaitingReadEndsWhenStoreIsRestored(t *testing.T) {
	t.Parallel()
	s := newStoreTest(t)
	s.putConfiguration(1)
	older := s.store.Copy()
	s.putConfiguration(2)
	s.start()
	s.waitVersion(2)
	s.store.Restore(older)
	s.wait("configuration listed anew", func() bool { return s.control.topicReadings()[platform.ConfigurationTopic].Era == 2 })
}
