package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// UnmarshalJSON accepts a string with a whole number and the unit KiB, MiB or GiB.
func (b *Bytes) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	for unit, size := range map[string]Bytes{"KiB": KiB, "MiB": MiB, "GiB": GiB} {
		digits, ok := strings.CutSuffix(text, unit)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 32)
		if err != nil || int64(n) > math.MaxInt64/int64(size) {
			return fmt.Errorf("size %q: want a whole number before the unit", text)
		}
		*b = Bytes(n) * size
		return nil
	}
	return fmt.Errorf("size %q: want the unit KiB, MiB or GiB", text)
}

// MarshalJSON writes the size in the largest unit that divides it. A size that is
// no multiple of 1 KiB is rounded down.
func (b Bytes) MarshalJSON() ([]byte, error) {
	switch {
	case b%GiB == 0:
		return fmt.Appendf(nil, `"%dGiB"`, b/GiB), nil
	case b%MiB == 0:
		return fmt.Appendf(nil, `"%dMiB"`, b/MiB), nil
	default:
		return fmt.Appendf(nil, `"%dKiB"`, b/KiB), nil
	}
}
