package daemon

import (
	"math"
	"syscall"

	"go.uber.org/zap"
)

// callerSocketShare is the fraction of its sockets that an entry uses for the connections of
// callers. Each of their requests may take a connection to a target as well; the rest is for
// the store, other entries, readiness, metrics and callers that are refused.
const callerSocketShare = 0.45

// maxCallerConnections returns how many connections callers may have, 0 for no bound. stated
// is the number of sockets that the settings allow, 0 if they don't state it.
func maxCallerConnections(stated int, log *zap.Logger) int {
	sockets := stated
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		log.Warn("limit of descriptors not known", zap.Error(err))
	} else if limit.Cur <= math.MaxInt32 && (sockets == 0 || int(limit.Cur) < sockets) {
		sockets = int(limit.Cur)
	}
	bound := 0
	if sockets > 0 {
		bound = max(1, int(callerSocketShare*float64(sockets)))
	}
	log.Info("bound of callers' connections", zap.Int("bound", bound), zap.Int("sockets_stated", stated), zap.Uint64("descriptors_of_system", uint64(limit.Cur)))
	return bound
}
