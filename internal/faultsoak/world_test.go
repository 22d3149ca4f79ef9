package faultsoak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

// entry is one process of the system.
type entry struct {
	name, ip string
	boot     string
	toStore  *emulator.Proxy
	client   *http.Client

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	wanted  bool // is to be started again when it ends
}

// engine is one target with its proxy.
type engine struct {
	*emulator.Target
	proxy   *emulator.Proxy
	address string // of the proxy
	gone    bool
	born    time.Time
}

type world struct {
	t       *testing.T
	binary  string
	random  *rand.Rand
	logs    string
	store   *emulator.Store
	ledger  *emulator.Ledger
	entries []*entry
	engines []*engine
	rollout *rollout
	// storeAddress reaches the store without a proxy.
	storeAddress string
	version      int
	faults       map[string]int
	cleanup      []func()

	mu      sync.Mutex
	results []result
	dirty   []time.Time // times of faults that may cut a request
}

const (
	callerPort, readyPort = 8221, 8224
	firstPort, lastPort   = 7600, 7615
	graceTime             = 4 * time.Second // from SIGTERM to SIGKILL
	eventsOfStream        = 8
)

func newWorld(t *testing.T, binary string, seed uint64) *world {
	w := &world{
		t: t, binary: binary, random: newRandom(seed), logs: logDir(t, seed), store: emulator.NewStore(),
		ledger: emulator.NewLedger(), faults: make(map[string]int),
	}
	w.storeAddress = w.listen("127.0.0.1:0", func(ln net.Listener) { w.store.Serve(ln) })
	w.newRollout()
	for i := range 6 {
		w.addEngine(fmt.Sprintf("engine-%d", i), i < 3)
	}
	w.configure()
	for i := range *entriesFlag {
		w.addEntry(i, w.storeAddress)
	}
	go w.beat()
	return w
}

// listen serves on a loopback address until the end of the soak.
func (w *world) listen(address string, serve func(net.Listener)) string {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.cleanup = append(w.cleanup, func() { ln.Close() })
	go serve(ln)
	return ln.Addr().String()
}

func (w *world) addEngine(id string, streams bool) {
	target := &emulator.Target{ID: id, Service: "plain", Slots: 8, WorkTime: 5 * time.Millisecond, Ledger: w.ledger}
	if streams {
		target.Service, target.EventsPerStream = "model", eventsOfStream
	}
	proxy := emulator.NewProxy(w.listen("127.0.0.1:0", func(ln net.Listener) { target.Serve(ln) }))
	e := &engine{Target: target, proxy: proxy, born: time.Now(), address: w.listen("127.0.0.1:0", proxy.Serve)}
	w.engines = append(w.engines, e)
	w.announce(e, "ready")
}

func (w *world) announce(e *engine, state string) {
	b, err := e.Record(e.address, state, e.born)
	if err != nil {
		w.t.Error(err)
		return
	}
	w.store.Put("keyed.servers", e.ID, b)
}

// beat repeats the records of the targets that are there.
func (w *world) beat() {
	for w.t.Context().Err() == nil {
		time.Sleep(1200 * time.Millisecond)
		w.mu.Lock()
		for _, e := range w.engines {
			if !e.gone {
				w.announce(e, "ready")
			}
		}
		w.mu.Unlock()
	}
}

// configure writes a new configuration. Its routes are always the same; others
// come and go.
func (w *world) configure() {
	w.version += 1 + w.random.IntN(3)
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"Name": name, "Host": "h", "PathPrefix": "/" + name + "/", "Kind": kind, "Service": service, "MaxAttempts": attempts,
			"TimeoutMs": 2000, "TargetLatencyMs": 200, "TargetGapMs": 100, "Resumable": resumable, "Priority": len(name) % 3,
		}
	}
	b, err := json.Marshal(map[string]any{
		"Version": w.version,
		"Routes": []any{
			route("plain", "idempotent", "plain", 2, false), route("once", "non_idempotent", "plain", 1, false),
			route("stream", "streaming", "model", 1, false), route("resume", "streaming", "model", 2, true),
			route(fmt.Sprintf("v%d", w.version), "idempotent", "plain", 1, false),
		},
		"Services": []any{map[string]any{"Name": "plain"}, map[string]any{"Name": "model", "Engine": map[string]any{"Slots": 8}}},
		"Limits":   map[string]any{"MaxBodyBytes": 1 << 20, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "c", "ApiKeys": []string{"key"}}},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("keyed.op", "config", b)
}

func (w *world) addEntry(i int, storeAddress string) {
	e := &entry{
		name: fmt.Sprintf("edge-%d", i), ip: fmt.Sprintf("127.0.%d.%d", 2+os.Getpid()%200, 10+i), toStore: emulator.NewProxy(storeAddress), wanted: true,
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	proxied := w.listen("127.0.0.1:0", e.toStore.Serve)
	e.boot = filepath.Join(w.logs, e.name+".conf")
	text := fmt.Sprintf("NodeName=%s\nZone=a\nIp=%s\nListen.Front=%s:%d\nListen.Ready=%s:%d\nInternalPorts=%d,%d\nBootstrap=%t\n"+
		"HeartbeatMs=1200\nBounds.GraceS=%g\nBounds.DrainMs=2000\nBounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\n"+
		"Bounds.RetryBudgetSlack=56\nBounds.QuotaWindowS=8\nPlatform.Address=%s\n",
		e.name, e.ip, e.ip, callerPort, e.ip, readyPort, firstPort, lastPort, i == 0, graceTime.Seconds(), proxied)
	if err := os.WriteFile(e.boot, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.entries = append(w.entries, e)
	w.start(e)
}

// start runs the entry's process and starts it again while it is wanted.
func (w *world) start(e *entry) {
	log, err := os.OpenFile(filepath.Join(w.logs, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		w.t.Fatal(err)
	}
	cmd := exec.Command(w.binary, "--platform", "--signers", w.rollout.file)
	cmd.Env = append(os.Environ(), "CASSIARAMP_BOOT="+e.boot)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.process, e.exited = cmd, exited
	e.mu.Unlock()
	go func() {
		cmd.Wait() // the code after a kill is no matter
		log.Close()
		close(exited)
		time.Sleep(200 * time.Millisecond)
		e.mu.Lock()
		again := e.wanted
		e.mu.Unlock()
		if again {
			w.start(e)
		}
	}()
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process.Process.Signal(s) // a process that has ended is no matter
}

// stop asks for a planned stop and kills the process after the grace time.
func (e *entry) stop() {
	e.signal(syscall.SIGTERM)
	e.mu.Lock()
	process, exited := e.process, e.exited
	e.mu.Unlock()
	go func() {
		select {
		case <-exited:
		case <-time.After(graceTime):
			process.Process.Kill()
		}
	}()
}

func (w *world) close() {
	for _, e := range w.entries {
		e.mu.Lock()
		e.wanted = false
		exited := e.exited
		e.process.Process.Signal(syscall.SIGCONT)
		e.process.Process.Kill()
		e.mu.Unlock()
		<-exited
		e.client.CloseIdleConnections()
	}
	for _, f := range w.cleanup {
		f()
	}
}

// ready asks an entry as the platform does.
func (w *world) ready(e *entry) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", e.ip, readyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) waitReady(limit time.Duration) {
	w.t.Helper()
	end := time.Now().Add(limit)
	for _, e := range w.entries {
		for !w.ready(e) {
			if time.Now().After(end) {
				w.t.Errorf("%s is not ready %s after the start or the last fault", e.name, limit)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
