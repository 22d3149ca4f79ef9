package state

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"
)

// Guards against a share of extra work that would load targets with more than the users tolerate,
// and against bundles without the field that are refused or written with it.
func TestHedgingShareOfBundle(t *testing.T) {
	share := func(x float64) *float64 { return &x }
	for _, c := range []struct {
		share *float64
		valid bool
	}{{nil, true}, {share(0), true}, {share(0.05), true}, {share(0.2), true}, {share(0.21), false}, {share(-0.01), false}, {share(math.NaN()), false}} {
		b := Bundle{
			Signers:  Signers{Required: 1, Keys: map[string]string{"a": "key"}},
			Policies: map[string]PlacementPolicy{"p": {}}, Split: []PolicyShare{{Policy: "p", Share: 1}},
			Admission: &AdmissionPolicy{RefuseShare: 1, MinRetryAfter: Duration(time.Second), Hedging: c.share},
		}
		if err := b.Validate(); (err == nil) != c.valid {
			t.Errorf("share %v: error %v, want valid %t", c.share, err, c.valid)
		}
	}
	text, err := json.Marshal(AdmissionPolicy{})
	if err != nil || strings.Contains(string(text), "hedging") {
		t.Errorf("a policy without the field is written as %s (%v)", text, err)
	}
}
