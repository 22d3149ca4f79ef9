package state

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// compactFigures is the CBOR form of LoadFigures. A side process sends it once or
// twice a second on each of about 40 sessions, so it leaves out field keys,
// trailing zeros and digits that no decision uses.
type compactFigures struct {
	_             struct{} `cbor:",toarray"`
	Taken         int64    // nanoseconds since 1970, UTC; 0 for the zero time
	QueuedCount   []int    // by tier, without trailing zeros
	QueuedTokens  []int    // by tier, without trailing zeros
	RunningCount  int
	RunningTokens int
	Window        int
	QueueLimit    int
	PrefillRate   float32
	DecodeRate    float32
	LowestQueued  Tier
	Models        []string
}

// MarshalCBOR implements cbor.Marshaler. Rates are rounded to float32.
func (f LoadFigures) MarshalCBOR() ([]byte, error) {
	c := compactFigures{
		QueuedCount: trimZeros(f.QueuedCount[:]), QueuedTokens: trimZeros(f.QueuedTokens[:]),
		RunningCount: f.RunningCount, RunningTokens: f.RunningTokens, Window: f.Window, QueueLimit: f.QueueLimit,
		PrefillRate: float32(f.PrefillRate), DecodeRate: float32(f.DecodeRate), LowestQueued: f.LowestQueued, Models: f.Models,
	}
	if !f.Taken.IsZero() {
		c.Taken = f.Taken.UnixNano()
	}
	return cbor.Marshal(&c)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (f *LoadFigures) UnmarshalCBOR(b []byte) error {
	var c compactFigures
	if err := cbor.Unmarshal(b, &c); err != nil {
		return err
	}
	*f = LoadFigures{
		RunningCount: c.RunningCount, RunningTokens: c.RunningTokens, Window: c.Window, QueueLimit: c.QueueLimit,
		PrefillRate: float64(c.PrefillRate), DecodeRate: float64(c.DecodeRate), LowestQueued: c.LowestQueued, Models: c.Models,
	}
	if c.Taken != 0 {
		f.Taken = time.Unix(0, c.Taken)
	}
	copy(f.QueuedCount[:], c.QueuedCount)
	copy(f.QueuedTokens[:], c.QueuedTokens)
	return nil
}

func trimZeros(list []int) []int {
	for len(list) > 0 && list[len(list)-1] == 0 {
		list = list[:len(list)-1]
	}
	return list
}
