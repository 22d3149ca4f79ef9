package daemon

import (
	"syscall"
	"testing"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/settings"
)

// Guards against an entry that accepts more connections of callers than it has descriptors
// for, because the settings allow more requests or sockets than the system.
func TestCallersGetAPartOfTheDescriptors(t *testing.T) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	const openRequests = 1 << 26
	bounds, connections := map[int]int{100: 45, 1: 1}, map[int]int{1: connectionsPerRequest}
	if limit.Cur < openRequests { // usually; else no settings exceed it
		part := int(callerSocketShare * float64(limit.Cur))
		bounds[0], bounds[openRequests], connections[openRequests] = part, part, part
	}
	for stated, want := range bounds {
		if got := maxCallerConnections(stated, zap.NewNop()); got != want {
			t.Errorf("%d sockets stated, %d descriptors: bound %d, want %d", stated, limit.Cur, got, want)
		}
	}
	for requests, want := range connections {
		p := &process{log: zap.NewNop(), settings: &settings.Settings{Limits: settings.Limits{OpenRequests: requests}}}
		if got := p.maxConnections(); got != want {
			t.Errorf("%d open requests, %d descriptors: %d connections, want %d", requests, limit.Cur, got, want)
		}
	}
}
