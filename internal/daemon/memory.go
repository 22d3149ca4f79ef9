package daemon

import (
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/memory"
)

// How an entry divides the memory that the platform grants it. The rest is for the runtime, the
// lists of targets and entries, reports, and what the garbage collector has not freed yet.
const (
	// requestMemoryShare is the fraction that the account of requests and responses covers, and
	// smallMemoryShare the fraction of the account that only small requests may use.
	requestMemoryShare = 0.25
	smallMemoryShare   = 0.25
	// responseMemoryShare is the fraction of the process's memory that responses may take,
	// and defaultResponseMemory what they may take if its limit is not stated, in bytes.
	responseMemoryShare   = 0.125
	defaultResponseMemory = 32 << 20
	// connectionMemoryShare is the fraction that the connections of callers may take, at
	// connectionMemory bytes each: two buffers of 4 KiB, the stacks of two goroutines, and the
	// parsed head of a small request.
	connectionMemoryShare = 0.3
	connectionMemory      = 32 << 10
)

// requestMemory returns the limits of the account for a process that may use limit bytes, 0 if
// that is not stated.
func requestMemory(limit int) memory.Limits {
	if limit == 0 {
		return memory.Limits{Responses: defaultResponseMemory}
	}
	total := requestMemoryShare * float64(limit)
	return memory.Limits{Total: int(total), Reserve: int(smallMemoryShare * total), Responses: int(responseMemoryShare * float64(limit))}
}

// boundByMemory returns how many connections callers may have in a process that may use limit
// bytes, if descriptors allow bound of them. 0 stands for no bound and no limit.
func boundByMemory(bound, limit int, log *zap.Logger) int {
	if limit == 0 {
		return bound
	}
	most := max(1, int(connectionMemoryShare*float64(limit))/connectionMemory)
	if bound > 0 && bound <= most {
		return bound
	}
	log.Info("memory bounds callers' connections", zap.Int("bound", most), zap.Int("descriptors_allow", bound), zap.Int("memory", limit))
	return most
}
