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

// storeTimeout bounds the look-up of the entries in the platform's store.
const storeTimeout = 5 * time.Second

// Processes says whose metrics a command reads.
type Processes struct {
	Admin []string `arg:"--admin,separate" help:"admin URL of a process; repeatable"`
	Store string   `arg:"--store,env:CASSIARAMP_STORE" placeholder:"IP:PORT" help:"the users' platform's store, which names all entries there, instead of --admin"`
}

// URLs returns the admin URLs.
func (p *Processes) URLs(ctx context.Context) ([]string, error) {
	switch {
	case len(p.Admin) > 0:
		return p.Admin, nil
	case p.Store == "":
		return nil, errors.New("--admin or --store: want at least one process")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, err := platform.NewStore(p.Store).Entries(ctx)
	if err != nil {
		return nil, fmt.Errorf("entries in the store: %w", err)
	}
	var urls []string
	for id, e := range entries {
		a, err := netip.ParseAddrPort(e.Address)
		if err != nil {
			return nil, fmt.Errorf("entry %s in the store: %w", id, err)
		}
		urls = append(urls, "http://"+netip.AddrPortFrom(a.Addr(), platform.MetricsPort).String())
	}
	if len(urls) == 0 {
		return nil, errors.New("the store names no entries")
	}
	slices.Sort(urls)
	return urls, nil
}
