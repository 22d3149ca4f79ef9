package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Platform is a running set of stand-ins.
type Platform struct {
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	seed      uint64
	servers   map[string]*server
	engines   map[string]*engine
	instances *instanceList
	ledgers   []*ledger // in the order of the configuration
}

// Start checks c, listens on all addresses and serves until Close.
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
		s.run(&p.wg)
	}
	for _, e := range p.engines {
		p.wg.Go(e.compute)
	}
	return p, nil
}

func (p *Platform) build(c *Config) error {
	if c.Admin != "" {
		srv, err := p.listen(AdminName, c.Admin)
		if err != nil {
			return err
		}
		srv.handler = p.handleAdmin
	}
	if c.Log != nil {
		srv, err := p.listen(LogName, c.Log.Address)
		if err != nil {
			return err
		}
		newLogService(c.Log, srv)
	}
	if c.Instances != nil {
		srv, err := p.listen(InstancesName, c.Instances.Address)
		if err != nil {
			return err
		}
		p.instances = newInstanceList(c.Instances, srv)
	}
	if c.Weights != nil {
		srv, err := p.listen(WeightsName, c.Weights.Address)
		if err != nil {
			return err
		}
		newWeightStore(c.Weights, srv)
	}
	return p.buildTargets(c)
}

func (p *Platform) buildTargets(c *Config) error {
	for _, ec := range c.Engines {
		srv, err := p.listen(ec.Name, ec.Address)
		if err != nil {
			return err
		}
		e := newEngine(ec, srv, p.URL(WeightsName))
		p.engines[ec.Name] = e
		p.ledgers = append(p.ledgers, e.ledger)
	}
	for _, sc := range c.Services {
		srv, err := p.listen(sc.Name, sc.Address)
		if err != nil {
			return err
		}
		p.ledgers = append(p.ledgers, newPlainService(sc, srv).ledger)
	}
	return nil
}

func (p *Platform) listen(name, address string) (*server, error) {
	ln, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	s := &server{name: name, ln: ln, faults: newFaults(p.seed, name), ctx: p.ctx}
	p.servers[name] = s
	return s, nil
}

// Close stops all parts, closes their connections and waits for them.
func (p *Platform) Close() {
	p.cancel()
	for _, s := range p.servers {
		s.ln.Close()
	}
	p.wg.Wait()
}

// Addr returns the address of a part, or "" when there is none of that name.
func (p *Platform) Addr(name string) string {
	s := p.servers[name]
	if s == nil {
		return ""
	}
	return s.ln.addr
}

// URL returns the base URL of a part, without a slash at the end, or "".
func (p *Platform) URL(name string) string {
	addr := p.Addr(name)
	if addr == "" {
		return ""
	}
	return "http://" + addr
}

// SetFault sets faults of one part.
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

// Ledger returns what the targets have run so far.
func (p *Platform) Ledger() Ledger {
	out := Ledger{Targets: []TargetLedger{}}
	for _, l := range p.ledgers {
		out.Targets = append(out.Targets, l.copy())
	}
	return out
}

func (p *Platform) handleAdmin(ctx *fasthttp.RequestCtx) {
	seg := segments(ctx)
	switch path := string(ctx.Path()); {
	case path == "/admin/ledger" && ctx.IsGet():
		reply(ctx, fasthttp.StatusOK, p.Ledger())
	case path == "/admin/faults" && ctx.IsPost():
		p.handleFault(ctx)
	case len(seg) == 3 && seg[0] == "admin" && seg[1] == "instances" && p.instances != nil:
		p.instances.handleChange(ctx, state.InstanceID(seg[2]))
	default:
		notFound(ctx)
	}
}

func (p *Platform) handleFault(ctx *fasthttp.RequestCtx) {
	var f Fault
	err := json.Unmarshal(ctx.PostBody(), &f)
	if err == nil {
		err = p.SetFault(f)
	}
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
	}
}
