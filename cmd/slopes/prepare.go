package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/ctl/bundlecmd"
	"github.com/cassiaramp/cassiaramp/internal/standin"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// The engines of a measurement generate a token every 38 ms for each request and have
// a high rate over all requests, so that the rate is bounded by the measured processes
// and not by the engines.
const (
	tokenGap                = 38 * time.Millisecond
	engineTokenRate         = 1e7 // tokens a second over all requests, for prefill and for decode
	maxTargetsPerService    = 16  // an entry connects to no more targets of one service
	standinAppendsPerSecond = 1000
	retention               = "15m"
)

// prepareCommand writes the settings of one deployment.
type prepareCommand struct {
	Dir       string `arg:"--dir,required" help:"directory to write to"`
	Targets   int    `arg:"--targets,required" help:"number of engines"`
	Entries   int    `arg:"--entries,required" help:"number of entries"`
	Customers int    `arg:"--customers" default:"930" help:"customers in the bundle"`
}

// deployment describes a deployment to the subcommand "measure".
type deployment struct {
	Targets   int       `json:"targets"`
	Entries   int       `json:"entries"`
	Customers int       `json:"customers"`
	Services  int       `json:"services"`
	Log       string    `json:"log"`
	Processes []process `json:"processes"`
}

// process describes one process of cassiarampd.
type process struct {
	Name    string     `json:"name"`
	Role    state.Role `json:"role"`
	Admin   string     `json:"admin"`             // HOST:PORT
	Callers string     `json:"callers,omitempty"` // HOST:PORT
}

// portAllocator finds free ports below the range of ports for outgoing connections.
type portAllocator struct{ next int }

func newPortAllocator() *portAllocator { return &portAllocator{next: 20000 + rand.IntN(110)*100} }

func (p *portAllocator) address() string {
	for {
		a := fmt.Sprintf("127.0.0.1:%d", p.next)
		p.next++
		if isFree(a) {
			return a
		}
	}
}

// isFree reports whether address a is free for both TCP and UDP.
func isFree(a string) bool {
	t, err := net.Listen("tcp", a)
	if err != nil {
		return false
	}
	t.Close()
	u, err := net.ListenPacket("udp", a)
	if err != nil {
		return false
	}
	u.Close()
	return true
}

func (c *prepareCommand) run(ctx context.Context) error {
	d := &deployment{
		Targets: c.Targets, Entries: c.Entries, Customers: c.Customers,
		Services: (c.Targets + maxTargetsPerService - 1) / maxTargetsPerService,
	}
	ports := newPortAllocator()
	s := &standin.Config{
		Seed: 1, Admin: ports.address(),
		Log:       &standin.LogConfig{Address: ports.address(), AppendsPerSecond: standinAppendsPerSecond, Latency: state.Duration(time.Millisecond)},
		Instances: &standin.InstancesConfig{Address: ports.address(), Lag: state.Duration(time.Second)},
	}
	d.Log = "http://" + s.Log.Address
	var names []string
	settings := map[string]any{}
	add := func(p process, listen, target map[string]any) {
		listen["admin"] = p.Admin
		daemonSettings := map[string]any{
			"instance": p.Name, "role": p.Role, "failure_domain": "zone-a", "region": "region-a", "listen": listen,
			"tls":      map[string]any{"certificate": p.Name + ".pem", "key": p.Name + ".key", "authority": "authority.pem"},
			"platform": map[string]any{"log": d.Log, "instances": "http://" + s.Instances.Address, "retention": retention, "claim_partitions": 4},
			// At level info, the processes log one line for each request.
			"bootstrap_signers": signers(), "log": map[string]any{"level": "info"},
		}
		if target != nil {
			daemonSettings["target"] = target
		}
		settings[p.Name] = daemonSettings
		names = append(names, p.Name)
		d.Processes = append(d.Processes, p)
	}
	for i := range c.Targets {
		service, engine, sessions := serviceName(i%d.Services), ports.address(), ports.address()
		name := fmt.Sprintf("side-%03d", i)
		s.Engines = append(s.Engines, standin.EngineConfig{
			Name: string(targetName(i)), Address: engine, PrefillRate: engineTokenRate, DecodeRate: engineTokenRate,
			RequestRate: float64(time.Second) / float64(tokenGap), CacheTokens: 20000,
			Models:      []state.ModelSpec{{Name: modelName(i % d.Services), Version: "1"}},
			ChecksFence: true, LoadLag: state.Duration(500 * time.Millisecond), CacheLag: state.Duration(time.Second),
		})
		s.Instances.Members = append(s.Instances.Members, state.Member{
			Instance: state.InstanceID(name), Role: state.SideRole, Domain: "zone-a", Address: sessions, Target: targetName(i), Service: service,
		})
		add(process{Name: name, Role: state.SideRole, Admin: ports.address()}, map[string]any{"sessions": sessions},
			map[string]any{"id": targetName(i), "service": service, "kind": "engine", "address": engine, "checks_fence": true})
	}
	for i := range c.Entries {
		p := process{Name: fmt.Sprintf("entry-%03d", i), Role: state.EntryRole, Admin: ports.address(), Callers: ports.address()}
		s.Instances.Members = append(s.Instances.Members, state.Member{Instance: state.InstanceID(p.Name), Role: state.EntryRole, Domain: "zone-a"})
		add(p, map[string]any{"callers": p.Callers}, nil)
	}
	certificates := &bundlecmd.KeysTLS{Instances: names, Dir: c.Dir, Validity: time.Hour}
	if err := certificates.Run(ctx, io.Discard); err != nil {
		return err
	}
	settings["standin"], settings["deployment"] = s, d
	for name, content := range settings {
		if err := writeJSON(filepath.Join(c.Dir, name+".json"), content); err != nil {
			return err
		}
	}
	return nil
}

func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o600)
}
