package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/ctl/bundlecmd"
	"github.com/cassiaramp/cassiaramp/internal/emulator"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn/conntest"
	"github.com/cassiaramp/cassiaramp/platform"
)

// serveStore serves an emulated store of the users' platform and returns its
// address.
func serveStore(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- emulator.NewStore().Serve(ln) }()
	t.Cleanup(func() {
		ln.Close()
		<-done
	})
	return ln.Addr().String()
}

// Guards against a template in deploy that entries cannot use, against two bundles of
// the same version, and against asking the store for the history, which it does not
// keep.
func TestBundleOnTheStore(t *testing.T) {
	s, _ := setUp(t)
	t.Setenv("CASSIARAMP_LOG", "")
	signers, err := os.ReadFile(s.dir + "/signers.json")
	if err != nil {
		t.Fatal(err)
	}
	template, err := os.ReadFile("../../deploy/bundle.json")
	if err != nil {
		t.Fatal(err)
	}
	s.write("dispatch.json", string(bytes.Replace(template, []byte(`{"required": 2, "keys": {}}`), signers, 1)))
	store := serveStore(t)
	flags := " --store " + store
	s.run(bundlecmd.ExitNoBundle, "bundle status"+flags)
	s.run(0, "bundle new @v1.json --anchor --template @dispatch.json")
	s.run(0, "bundle check @v1.json")
	publish := "bundle publish " + s.signed("v1.json") + flags
	s.run(0, publish)
	s.run(0, publish) // a repeat is safe
	s.run(0, "bundle new @v2.json --note second"+flags)
	s.run(0, "bundle new @other.json --note other"+flags)
	s.run(0, "bundle publish "+s.signed("v2.json")+flags)
	s.run(bundlecmd.ExitSuperseded, "bundle publish "+s.signed("other.json")+flags)
	var status struct {
		Version uint64
		Note    string
	}
	if err := json.Unmarshal([]byte(s.run(0, "bundle status --json"+flags)), &status); err != nil {
		t.Fatal(err)
	}
	if status.Version != 2 || status.Note != "second" {
		t.Errorf("status %+v, want version 2", status)
	}
	s.run(bundlecmd.ExitUsage, "bundle history"+flags)
	s.run(bundlecmd.ExitUsage, "bundle status --log http://127.0.0.1:1"+flags)
}

// Guards against a status that does not find the entries in the store.
func TestStatusReadsEntriesFromStore(t *testing.T) {
	store := serveStore(t)
	ip := conntest.Address(t)
	conntest.ClosedPort(t, ip, platform.MetricsPort) // nothing serves metrics there
	s := &shell{t: t, dir: t.TempDir()}
	s.run(bundlecmd.ExitFailure, "status --store "+store)
	record, err := platform.EncodeEntry(platform.EntryRecord{Address: netip.AddrPortFrom(ip, 7600).String()})
	if err != nil {
		t.Fatal(err)
	}
	if err := platform.NewStore(store).Put(t.Context(), platform.EntryTopic, "edge-1", record); err != nil {
		t.Fatal(err)
	}
	var status struct{ Instances []struct{ URL string } }
	if err := json.Unmarshal([]byte(s.run(exitUnhealthy, "status --json --store "+store)), &status); err != nil {
		t.Fatal(err)
	}
	if want := "http://" + ip.String() + ":9090"; len(status.Instances) != 1 || status.Instances[0].URL != want {
		t.Errorf("instances %+v, want one at %s", status.Instances, want)
	}
}
