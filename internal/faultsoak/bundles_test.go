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

// rollout publishes bundles to the store while faults go on.
type rollout struct {
	signers state.Signers
	file    string // of the signers, for the processes
	key     ed25519.PrivateKey
	head    state.BundleID
	version uint64
}

const operator = "anna"

func (w *world) newRollout() {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		w.t.Fatal(err)
	}
	w.rollout = &rollout{key: private, file: filepath.Join(w.logs, "signers.json"), signers: state.Signers{
		Required: 1, Keys: map[string]string{operator: base64.StdEncoding.EncodeToString(public)},
	}}
	b, err := json.Marshal(w.rollout.signers)
	if err == nil {
		err = os.WriteFile(w.rollout.file, b, 0o600)
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

// publish publishes the next version, with other shares of the policies than the
// one before.
func (w *world) publish() {
	r := w.rollout
	admission := dispatch.DefaultAdmission()
	b := &state.Bundle{
		Version: r.version + 1, Base: r.head, Signers: r.signers, Policies: dispatch.Shipped(), Admission: &admission,
		Split: []state.PolicyShare{{Policy: dispatch.PredictedDelay, Share: float64(1 + r.version)}, {Policy: dispatch.LeastOutstanding, Share: 1}},
	}
	document, err := bundle.Encode(b)
	if err != nil {
		w.t.Fatal(err)
	}
	signature, err := bundle.Sign(document, operator, r.key)
	if err != nil {
		w.t.Fatal(err)
	}
	register := platform.BundleRegister{Store: platform.NewStore(w.storeAddress)}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		p := bundle.PublishToRegister(w.t.Context(), register, r.signers, document, []state.Signature{signature})
		if p.Outcome == bundle.OutcomeAccepted {
			r.version, r.head = p.Version, p.ID
			return
		}
		if time.Now().After(end) {
			w.t.Errorf("bundle %d: %s: %v", b.Version, p.Outcome, p.Err)
			return
		}
	}
}

// bundleTime is how long a bundle may take to be in effect in all entries without
// faults: a read of the store, a report and a fetch.
const bundleTime = 5 * time.Second

// checkBundles publishes one more bundle and waits until it is in effect.
func (w *world) checkBundles() {
	w.publish()
	var urls []string
	for _, e := range w.entries {
		urls = append(urls, fmt.Sprintf("http://%s:%d", e.ip, platform.MetricsPort))
	}
	var readings []vars.Reading
	for end := time.Now().Add(bundleTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		readings = vars.Fetch(w.t.Context(), urls)
		behind := 0
		for _, r := range readings {
			if r.Error != "" || r.Metrics.BundleVersion != w.rollout.version {
				behind++
			}
		}
		if behind == 0 {
			return
		}
	}
	for _, r := range readings {
		w.t.Errorf("%s has bundle %d of %d in effect, error %q", r.URL, r.Metrics.BundleVersion, w.rollout.version, r.Error)
	}
}
