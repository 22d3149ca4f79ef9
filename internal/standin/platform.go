package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Platform is a set of running stand-ins: those for the services of the platform,
// for the targets, and the admin server.
type Platform struct {
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	seed      uint64
	servers   map[string]*server // by name
	engines   map[string]*engine // by name
	instances *instanceList      // nil if not configured
	ledgers   []*ledger          // engines, then services, in the order of the configuration
}

// Start validates c, listens on all addresses and serves until Close.
func Start(c *Config) (*Platform, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	p := &Platform{seed: c.Seed, servers: map[string]*server{}, engines: map[string]*engine{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if err := p.build(c); err != nil {
		p.Close()
		return nil, err
	}
	for _, s := range p.servers {
		s.serve(&p.wg)
	}
	for _, e := range p.engines {
		p.wg.Go(e.simulate)
	}
	return p, nil
}

// build creates the configured stand-ins and their listeners. It does not serve
// yet.
func (p *Platform) build(c *Config) error {
	if c.Admin != "" {
		srv, err := p.addServer(AdminName, c.Admin)
		if err != nil {
			return err
		}
		srv.handler = p.handleAdmin
	}
	if c.Log != nil {
		srv, err := p.addServer(LogName, c.Log.Address)
		if err != nil {
			return err
		}
		newLogService(c.Log, srv)
	}
	if c.Instances != nil {
		srv, err := p.addServer(InstancesName, c.Instances.Address)
		if err != nil {
			return err
		}
		p.instances = newInstanceList(c.Instances, srv)
	}
	if c.Weights != nil {
		srv, err := p.addServer(WeightsName, c.Weights.Address)
		if err != nil {
			return err
		}
		newWeightStore(c.Weights, srv)
	}
	return p.buildTargets(c)
}

func (p *Platform) buildTargets(c *Config) error {
	for _, ec := range c.Engines {
		srv, err := p.addServer(ec.Name, ec.Address)
		if err != nil {
			return err
		}
		e := newEngine(ec, srv, p.URL(WeightsName))
		p.engines[ec.Name] = e
		p.ledgers = append(p.ledgers, e.ledger)
	}
	for _, sc := range c.Services {
		srv, err := p.addServer(sc.Name, sc.Address)
		if err != nil {
			return err
		}
		p.ledgers = append(p.ledgers, newPlainService(sc, srv).ledger)
	}
	return nil
}

// addServer listens on address and adds a server without a handler.
func (p *Platform) addServer(name, address string) (*server, error) {
	ln, err := newListener(address)
	if err != nil {
		return nil, fmt.Errorf("stand-in %s: %w", name, err)
	}
	s := &server{name: name, ln: ln, faults: newFaults(p.seed, name), ctx: p.ctx}
	p.servers[name] = s
	return s, nil
}

// Close stops all stand-ins, closes their connections and waits for their
// goroutines.
func (p *Platform) Close() {
	p.cancel()
	for _, s := range p.servers {
		s.ln.Close()
	}
	p.wg.Wait()
}

// Addr returns the address of the named stand-in, or "" if there is none.
func (p *Platform) Addr(name string) string {
	s := p.servers[name]
	if s == nil {
		return ""
	}
	return s.ln.addr
}

// URL returns the base URL of the named stand-in without a slash at the end, or
// "" if there is none.
func (p *Platform) URL(name string) string {
	addr := p.Addr(name)
	if addr == "" {
		return ""
	}
	return "http://" + addr
}

// SetFault changes the faults of the stand-in f.Name. The admin server has no
// faults.
func (p *Platform) SetFault(f Fault) error {
	s := p.servers[f.Name]
	if s == nil || f.Name == AdminName {
		return fmt.Errorf("fault: no part is named %q", f.Name)
	}
	if err := f.validate(); err != nil {
		return fmt.Errorf("fault of %s: %w", f.Name, err)
	}
	if err := s.setFault(&f); err != nil {
		return fmt.Errorf("fault of %s: %w", f.Name, err)
	}
	if e := p.engines[f.Name]; e != nil && f.Restart {
		e.restart()
	}
	return nil
}

// Ledger returns the counts of what the targets have run so far.
func (p *Platform) Ledger() Ledger {
	out := Ledger{Targets: []TargetLedger{}}
	for _, l := range p.ledgers {
		out.Targets = append(out.Targets, l.snapshot())
	}
	return out
}

func (p *Platform) handleAdmin(ctx *fasthttp.RequestCtx) {
	segments := pathSegments(ctx)
	switch path := string(ctx.Path()); {
	case path == "/admin/ledger" && ctx.IsGet():
		replyJSON(ctx, fasthttp.StatusOK, p.Ledger())
	case path == "/admin/faults" && ctx.IsPost():
		p.handleFault(ctx)
	case len(segments) == 3 && segments[0] == "admin" && segments[1] == "instances" && p.instances != nil:
		p.instances.handleChange(ctx, state.InstanceID(segments[2]))
	default:
		replyNotFound(ctx)
	}
}

func (p *Platform) handleFault(ctx *fasthttp.RequestCtx) {
	var f Fault
	err := json.Unmarshal(ctx.PostBody(), &f)
	if err == nil {
		err = p.SetFault(f)
	}
	if err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
	}
}
