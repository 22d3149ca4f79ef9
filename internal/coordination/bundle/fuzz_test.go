package bundle

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against records that crash every reader of the log, and against proposals
// that take effect without signatures.
func FuzzApply(f *testing.F) {
	record := &Record{Kind: Proposal, Document: []byte(`{"version":1}`)}
	b, err := record.Marshal()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa0})
	f.Add(b[:len(b)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := NewFold(state.Signers{Required: 1, Keys: map[string]string{}})
		d := fold.Apply(logstream.Record{Offset: 1, Time: time.Unix(1, 0), Data: data})
		if d.HeadChanged && d.Kind == Proposal {
			t.Fatalf("a proposal took effect without a signer: %+v", d)
		}
	})
}
