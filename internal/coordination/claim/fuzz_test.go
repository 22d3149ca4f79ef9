package claim

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against records that crash every reader of the log or make the table exceed
// its limit.
func FuzzApply(f *testing.F) {
	b, err := cbor.Marshal(batch{Claims: []state.Claim{{Key: "k", Placement: 1, Target: "t"}, {Key: "k", Placement: 2, Receipt: state.AttemptVoided}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa0})
	f.Add(b[:len(b)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 2
		fold := NewFold(limit)
		for offset := range uint64(2) {
			fold.Apply(logstream.Record{Offset: offset, Time: time.Unix(1, 0), Data: data})
		}
		if fold.Len() > limit {
			t.Fatalf("%d keys held, the limit is %d", fold.Len(), limit)
		}
	})
}
