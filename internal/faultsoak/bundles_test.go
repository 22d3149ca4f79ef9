package faultsoak

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/ctl/vars"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/platform"
)

// publisher holds what is needed to publish the next bundle to the store.
type publisher struct {
	signers     state.Signers
	signersFile string // path of the signers, which the processes read
	operatorKey ed25519.PrivateKey
	headID      state.BundleID
	last        *bundle.DecodedBundle
	version     uint64
}

const operatorName = "anna"

func (w *world) newPublisher() {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		w.t.Fatal(err)
	}
	w.publisher = &publisher{operatorKey: private, signersFile: filepath.Join(w.logDirectory, "signers.json"), signers: state.Signers{
		Required: 1, Keys: map[string]string{operatorName: base64.StdEncoding.EncodeToString(public)},
	}}
	b, err := json.Marshal(w.publisher.signers)
	if err == nil {
		err = os.WriteFile(w.publisher.signersFile, b, 0o600)
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

// publishBundle publishes the next bundle version, with policy shares that differ
// from the previous one's. It retries for 10 s.
func (w *world) publishBundle() {
	pub := w.publisher
	admission := dispatch.DefaultAdmission()
	b := &state.Bundle{
		Version: pub.version + 1, Base: pub.headID, Signers: pub.signers, Policies: dispatch.BuiltInPolicies(), Admission: &admission,
		Split: []state.PolicyShare{{Policy: dispatch.PolicyPredictedDelay, Share: float64(1 + pub.version)}, {Policy: dispatch.PolicyLeastOutstanding, Share: 1}},
	}
	document, err := bundle.Encode(b)
	if err != nil {
		w.t.Fatal(err)
	}
	signature, err := bundle.Sign(document, operatorName, pub.operatorKey)
	if err != nil {
		w.t.Fatal(err)
	}
	register := platform.BundleRegister{Store: platform.NewStore(w.storeAddress)}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		p := bundle.PublishToRegister(w.t.Context(), register, pub.signers, document, []state.Signature{signature})
		if p.Outcome == bundle.OutcomeAccepted {
			pub.version, pub.headID = p.Version, p.ID
			pub.last = &bundle.DecodedBundle{ID: p.ID, Bundle: b, AcceptedBundle: state.AcceptedBundle{
				Version: p.Version, Document: document, Signatures: []state.Signature{signature},
			}}
			return
		}
		w.publishLostBundle(register)
		if time.Now().After(end) {
			w.t.Errorf("publishing bundle version %d failed: %s: %v", b.Version, p.Outcome, p.Err)
			return
		}
	}
}

// publishLostBundle publishes the last bundle again if neither the store nor an entry has
// it: the store has come back from an older copy before an entry had read it.
func (w *world) publishLostBundle(register platform.BundleRegister) {
	for _, r := range vars.Fetch(w.t.Context(), w.metricsURLs()) {
		if r.Error != "" || r.Metrics.BundleVersion == w.publisher.version {
			return
		}
	}
	if last := w.publisher.last; last != nil {
		if _, err := bundle.Keep(w.t.Context(), register, last); err != nil {
			w.t.Log("bundle not published again: ", err)
		}
	}
}

func (w *world) metricsURLs() []string {
	var urls []string
	for _, e := range w.entries {
		urls = append(urls, fmt.Sprintf("http://%s:%d", e.ip, platform.MetricsPort))
	}
	return urls
}

// bundleEffectLimit is how long a bundle may take to be in effect in all entries
// when there are no faults: the time of a read of the store, a report and a fetch.
const bundleEffectLimit = 5 * time.Second

// checkBundles publishes one more bundle and checks that it takes effect in all
// entries within bundleEffectLimit.
func (w *world) checkBundles() {
	w.publishBundle()
	urls := w.metricsURLs()
	var readings []vars.Reading
	for end := time.Now().Add(bundleEffectLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		readings = vars.Fetch(w.t.Context(), urls)
		behind := 0
		for _, r := range readings {
			if r.Error != "" || r.Metrics.BundleVersion != w.publisher.version {
				behind++
			}
		}
		if behind == 0 {
			return
		}
	}
	for _, r := range readings {
		w.t.Errorf("%s has bundle version %d in effect, want %d; error %q", r.URL, r.Metrics.BundleVersion, w.publisher.version, r.Error)
	}
}
