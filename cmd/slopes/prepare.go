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

// Engines of a measurement generate a token every 38 ms for each request and
// are otherwise fast, so that the processes measured and not the engines bound
// the rate.
const (
	tokenGap       = 38 * time.Millisecond
	engineRate     = 1e7
	subsetOfEntry  = 16 // targets of one service; an entry connects to no more
	standinAppends = 1000
	retention      = "15m"
)

// prepare writes the settings of one deployment.
type prepare struct {
	Dir       string `arg:"--dir,required" help:"directory to write to"`
	Targets   int    `arg:"--targets,required" help:"number of engines"`
	Entries   int    `arg:"--entries,required" help:"number of entries"`
	Customers int    `arg:"--customers" default:"930" help:"customers in the bundle"`
}

// deployment describes a deployment to "measure".
type deployment struct {
	Targets   int       `json:"targets"`
	Entries   int       `json:"entries"`
	Customers int       `json:"customers"`
	Services  int       `json:"services"`
	Log       string    `json:"log"`
	Processes []process `json:"processes"`
}

// process is one daemon.
type process struct {
	Name    string     `json:"name"`
	Role    state.Role `json:"role"`
	Admin   string     `json:"admin"`             // HOST:PORT
	Callers string     `json:"callers,omitempty"` // HOST:PORT
}

// ports hands out free ports below the range of outgoing connections.
type ports struct{ next int }

func newPorts() *ports { return &ports{next: 20000 + rand.IntN(110)*100} }

func (p *ports) address() string {
	for {
		a := fmt.Sprintf("127.0.0.1:%d", p.next)
		p.next++
		if free(a) {
			return a
		}
	}
}

func free(a string) bool {
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

func (c *prepare) run(ctx context.Context) error {
	d := &deployment{
		Targets: c.Targets, Entries: c.Entries, Customers: c.Customers,
		Services: (c.Targets + subsetOfEntry - 1) / subsetOfEntry,
	}
	free := newPorts()
	s := &standin.Config{
		Seed: 1, Admin: free.address(),
		Log:       &standin.LogConfig{Address: free.address(), AppendsPerSecond: standinAppends, Latency: state.Duration(time.Millisecond)},
		Instances: &standin.InstancesConfig{Address: free.address(), Lag: state.Duration(time.Second)},
	}
	d.Log = "http://" + s.Log.Address
	var names []string
	settings := map[string]any{}
	add := func(p process, listen, target map[string]any) {
		listen["admin"] = p.Admin
		one := map[string]any{
			"instance": p.Name, "role": p.Role, "failure_domain": "zone-a", "region": "region-a", "listen": listen,
			"tls":      map[string]any{"certificate": p.Name + ".pem", "key": p.Name + ".key", "authority": "authority.pem"},
			"platform": map[string]any{"log": d.Log, "instances": "http://" + s.Instances.Address, "retention": retention, "claim_partitions": 4},
			// Decisions are logged at the level info, one line for each request.
			"bootstrap_signers": signers(), "log": map[string]any{"level": "info"},
		}
		if target != nil {
			one["target"] = target
		}
		settings[p.Name] = one
		names = append(names, p.Name)
		d.Processes = append(d.Processes, p)
	}
	for i := range c.Targets {
		service, engine, sessions := serviceOf(i%d.Services), free.address(), free.address()
		name := fmt.Sprintf("side-%03d", i)
		s.Engines = append(s.Engines, standin.EngineConfig{
			Name: string(targetName(i)), Address: engine, PrefillRate: engineRate, DecodeRate: engineRate,
			RequestRate: float64(time.Second) / float64(tokenGap), CacheTokens: 20000,
			Models:      []state.ModelSpec{{Name: modelOf(i % d.Services), Version: "1"}},
			ChecksFence: true, LoadLag: state.Duration(500 * time.Millisecond), CacheLag: state.Duration(time.Second),
		})
		s.Instances.Members = append(s.Instances.Members, state.Member{
			Instance: state.InstanceID(name), Role: state.SideRole, Domain: "zone-a", Address: sessions, Target: targetName(i), Service: service,
		})
		add(process{Name: name, Role: state.SideRole, Admin: free.address()}, map[string]any{"sessions": sessions},
			map[string]any{"id": targetName(i), "service": service, "kind": "engine", "address": engine, "checks_fence": true})
	}
	for i := range c.Entries {
		p := process{Name: fmt.Sprintf("entry-%03d", i), Role: state.EntryRole, Admin: free.address(), Callers: free.address()}
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
