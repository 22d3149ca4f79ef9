package state

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// Guards against load figures that change when they are encoded and decoded, and
// against a status that is too large for the control traffic budget of a side
// process with 61 sessions.
func TestCompactFigures(t *testing.T) {
	for _, f := range []LoadFigures{
		{},
		{LowestQueued: NoTier, Window: 1},
		{
			Taken: time.Unix(1796331257, 123456789), QueuedCount: [MaxTiers]int{1, 0, 3, 0, 0, 0, 0, 9}, QueuedTokens: [MaxTiers]int{0, 70000},
			RunningCount: 137, RunningTokens: 16500, Window: 140, QueueLimit: 256, PrefillRate: 40123.5, DecodeRate: 3512.75,
			LowestQueued: 7, Models: []string{"stowage-large", "notes-small"},
		},
	} {
		b, err := cbor.Marshal(&Status{Figures: f, BundleVersion: 1700})
		if err != nil {
			t.Fatal(err)
		}
		var got Status
		if err := cbor.Unmarshal(b, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(Status{Figures: f, BundleVersion: 1700}, got); diff != "" {
			t.Errorf("figures (-want +got):\n%s", diff)
		}
		if limit := 90; len(b) > limit {
			t.Errorf("status of %d bytes, want at most %d", len(b), limit)
		}
	}
}

// Guards against a panic or a silent overflow when a peer reports more than
// MaxTiers tiers.
func TestCompactFiguresTooManyTiers(t *testing.T) {
	b, err := cbor.Marshal(&compactFigures{QueuedCount: make([]int, 100), Models: []string{"m"}})
	if err != nil {
		t.Fatal(err)
	}
	var f LoadFigures
	if err := f.UnmarshalCBOR(b); err != nil || f.Models[0] != "m" {
		t.Errorf("figures %+v, error %v", f, err)
	}
}
