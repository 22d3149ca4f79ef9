package rollout

import (
	"encoding/binary"
	"math"
)

// buckets is the number of classes of a histogram, of half an octave each.
const buckets = 16

// lowestClass is the binary logarithm of the times of the first class.
const lowestClass = -2.0

// histogram counts times relative to their prediction. Class 4 holds the times as
// predicted.
type histogram [buckets]uint32

func (h *histogram) add(logRatio float64) {
	h[int(min(buckets-1, max(0, math.Round((logRatio-lowestClass)*2))))]++
}

func (h *histogram) count() uint32 {
	var n uint32
	for _, c := range h {
		n += c
	}
	return n
}

// quantile returns the binary logarithm of the relative time below which a part of the
// times lies, interpolated within its class.
func (h *histogram) quantile(part float64) float64 {
	rank := part * float64(h.count())
	var below float64
	for i, c := range h {
		if c > 0 && below+float64(c) >= rank {
			return lowestClass + (float64(i)-0.5+(rank-below)/float64(c))/2
		}
		below += float64(c)
	}
	return 0
}

// addSince adds what next has more than last.
func (h *histogram) addSince(last, next *histogram) {
	for i := range h {
		if next[i] > last[i] {
			h[i] += next[i] - last[i]
		}
	}
}

// encode returns the counts as varints without the trailing zeros.
func (h *histogram) encode() []byte {
	var b []byte
	end := 0
	for _, c := range h {
		b = binary.AppendUvarint(b, uint64(c))
		if c > 0 {
			end = len(b)
		}
	}
	return b[:end]
}

// decodeHistogram reads what encode wrote. Counts that are missing or invalid are 0.
func decodeHistogram(b []byte) histogram {
	var h histogram
	for i := range h {
		c, n := binary.Uvarint(b)
		if n <= 0 {
			break
		}
		h[i], b = uint32(min(c, math.MaxUint32)), b[n:]
	}
	return h
}
