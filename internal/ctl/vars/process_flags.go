package vars

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/platform"
)

// storeTimeout bounds the reading of the list of entries from the store.
const storeTimeout = 5 * time.Second

// ProcessFlags are the arguments that select the processes whose metrics a command
// reads.
type ProcessFlags struct {
	Admin []string `arg:"--admin,separate" help:"admin URL of a process; repeatable"`
	Store string   `arg:"--store,env:CASSIARAMP_STORE" placeholder:"IP:PORT" help:"the users' platform's store, which names all entries there, instead of --admin"`
}

// AdminURLs returns the admin URLs of the selected processes: those of --admin if
// there are any, else those of all entries that the store lists.
func (p *ProcessFlags) AdminURLs(ctx context.Context) ([]string, error) {
	switch {
	case len(p.Admin) > 0:
		return p.Admin, nil
	case p.Store == "":
		return nil, errors.New("no process is selected: --admin or --store is required")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := platform.NewStore(p.Store).Entries(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the entries from the store: %w", err)
	}
	var urls []string
	for id, e := range entries {
		a, err := netip.ParseAddrPort(e.Address)
		if err != nil {
			return nil, fmt.Errorf("address of entry %s in the store: %w", id, err)
		}
		urls = append(urls, "http://"+netip.AddrPortFrom(a.Addr(), platform.MetricsPort).String())
	}
	if len(urls) == 0 {
		return nil, errors.New("the store lists no entries")
	}
	slices.Sort(urls)
	return urls, nil
}
