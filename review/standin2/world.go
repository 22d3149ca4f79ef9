package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Paths and names of the installation.
const (
	healthPath = "/healthz"
	streamPath = "/resumen/"
	plainPath  = "/almacen/"
	hostName   = "norte.example"
)

// world is a small deployment on loopback addresses: a store, engines and entries.
type world struct {
	dir, caseDir string
	record       *os.File
	trouble      bool
	ip           string
	store        *store
	server       *http.Server
	storeAddress string
	register     string // where engines write their entries
	registered   sync.Map

	mu       sync.Mutex
	children []*exec.Cmd
	ids      atomic.Int64
	port     int      // the first of InternalPorts; 0: one that is free
	seeds    []string // that the settings name before those of this world
	engines  []*engineProcess
	entries  []*entry
}

// engineProcess is an engine and the listener that stays open when it ends.
type engineProcess struct {
	id, address, service string
	pieces               int
	gap                  time.Duration
	listener             *os.File
	cmd                  *exec.Cmd
	workers              []*exec.Cmd // all processes, if there are several
}

// entry is a process of the project.
type entry struct {
	name, ip, front, ready, control, settings string
	internal                                  int
	cmd                                       *exec.Cmd
}

func newWorld(caseDir string) (*world, error) {
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return newWorldAt(fmt.Sprintf("127.%d.%d", 80+os.Getpid()%100, os.Getpid()/100%100), caseDir, record)
}

// beside returns another installation, which shares the record.
func (w *world) beside() (*world, error) {
	return newWorldAt(fmt.Sprintf("127.%d.%d", 80+os.Getpid()%100, 100+os.Getpid()/100%100), w.caseDir, w.record)
}

// newWorldAt returns a world whose addresses begin with ip.
func newWorldAt(ip, caseDir string, record *os.File) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, caseDir: caseDir, record: record, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), ip: ip}
	ln, err := net.Listen("tcp4", w.ip+".1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress, w.server = ln.Addr().String(), w.store.serve(ln)
	engines, err := net.Listen("tcp4", w.ip+".1:0")
	if err != nil {
		return nil, err
	}
	w.register = engines.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /engines/{id}", func(_ http.ResponseWriter, r *http.Request) {
		if b, err := io.ReadAll(r.Body); err == nil {
			w.registered.Store(r.PathValue("id"), time.Now())
			w.store.put("keyed.servers", r.PathValue("id"), b)
		}
	})
	go http.Serve(engines, mux)
	go w.expire()
	return w, nil
}

// expire removes the entries of engines after three heartbeats of silence.
func (w *world) expire() {
	for range time.Tick(100 * time.Millisecond) {
		w.registered.Range(func(id, at any) bool {
			if time.Since(at.(time.Time)) > 3*heartbeat {
				w.registered.Delete(id)
				w.store.put("keyed.servers", id.(string), nil)
			}
			return true
		})
	}
}

var began = time.Now()

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%7.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.children = append(w.children, cmd)
	return nil
}

// close ends all processes and completes the record.
func (w *world) close() {
	w.end()
	w.record.Close()
}

// end ends all processes and writes what ran to the record.
func (w *world) end() {
	w.mu.Lock()
	for _, cmd := range w.children {
		_ = cmd.Process.Kill() // fails for one that has ended
	}
	w.mu.Unlock()
	for _, cmd := range w.children {
		_ = cmd.Wait() // they were killed
	}
	if runs, err := os.ReadFile(filepath.Join(w.dir, "runs")); err == nil {
		fmt.Fprintf(w.record, "\nruns at the engines of %s, in order:\n%s", w.ip, runs)
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept:", w.dir)
	}
}

// addEngine starts an engine on a listener of its own.
func (w *world) addEngine(service string, pieces int, gap time.Duration) error {
	n := len(w.engines) + 1
	ln, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:0", w.ip, 100+n))
	if err != nil {
		return err
	}
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	e := &engineProcess{id: fmt.Sprintf("i-%08x", 0x5eed0000+n), address: ln.Addr().String(), service: service, pieces: pieces, gap: gap, listener: file}
	ln.Close() // file keeps the address open
	w.engines = append(w.engines, e)
	return w.startEngine(e)
}

func (w *world) startEngine(e *engineProcess) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	e.cmd = exec.Command(self, "engine", "-id", e.id, "-service", e.service, "-pieces", strconv.Itoa(e.pieces), "-gap", e.gap.String(),
		"-runs", filepath.Join(w.dir, "runs"), "-register", w.register, "-address", e.address, "-zone", "norte-ovi")
	e.cmd.ExtraFiles = []*os.File{e.listener}
	e.cmd.Stderr = os.Stderr
	e.workers = append(e.workers, e.cmd)
	return w.start(e.cmd)
}

// engineThatRuns returns the engine that began the latest run, and its process, or nil.
func (w *world) engineThatRuns() (*engineProcess, *exec.Cmd) {
	runs, err := os.ReadFile(filepath.Join(w.dir, "runs"))
	if err != nil {
		return nil, nil
	}
	lines := strings.Split(strings.TrimSpace(string(runs)), "\n")
	for _, e := range w.engines {
		for _, worker := range e.workers {
			if strings.Contains(lines[len(lines)-1], fmt.Sprintf("(process %d)", worker.Process.Pid)) {
				return e, worker
			}
		}
	}
	return nil, nil
}

// configure lets the operator write a configuration.
func (w *world) configure(version int, keys []string, routes []map[string]any) {
	services := map[string]bool{}
	list := []map[string]any{}
	for _, r := range routes {
		if name := r["Service"].(string); !services[name] {
			services[name] = true
			list = append(list, map[string]any{"Name": name, "HealthPath": healthPath, "MaxConnections": 730})
		}
	}
	w.store.putJSON("keyed.op", "config", map[string]any{
		"Version": version, "Routes": routes, "Services": list,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
		"Tenants": []map[string]any{{"Name": "despensa-7", "ApiKeys": keys, "RatePerS": 0, "Burst": 0, "Unit": "tokens", "PlainTokens": 200}},
	})
	w.note("operator: the store has acknowledged configuration %d, keys %v", version, keys)
}

func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"Name": name, "Host": hostName, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 10000, "TargetLatencyMs": 400, "TargetGapMs": 250,
		"Priority": 0, "MaxAttempts": 1, "Resumable": false, "Service": service,
	}
}

// freePort returns a port that is free on an address.
func freePort(ip string) int {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// settingsText is a settings file of DEPLOY.md, with the bounds of the site acba-despensa-grown.
const settingsText = `NodeName=%[1]s
Role=entry
MachineClass=edge
Serves=edge,control_plane
Ip=%[2]s
Zone=norte-ovi
Region=norte
Zones.norte-ovi=norte
Listen.Front=%[3]s
Listen.Ready=%[4]s
Listen.Control=%[5]s
InternalPorts=%[6]d,%[7]d
Seeds=%[8]s
Bootstrap=true
Limits.CpuShare=0.8
Limits.Cores=1
Limits.MemoryMb=536
Limits.MaxFds=8192
Limits.LinkMbps=200
Discovery=platform
Entry=virtual_ip
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,health,pool,engine,stream,tenants,quota,platform
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.StableWindowMs=4000
Bounds.AckMs=6000
Bounds.CatchUpS=6
Bounds.DrainMs=3000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigMs=3000
Bounds.RollbackSlackMs=250
Bounds.MaxStretchMs=6000
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.RetryBudgetSlack=92
Bounds.QuotaWindowS=8
Bounds.QuotaOverage=0.1
Bounds.QuotaSlack=190000
Bounds.RecoveryS=15
Bounds.PassMs=200
Bounds.RetryAfterS=9.5
Platform.Address=%[9]s
Platform.form=log
Platform.WritesPerS=1200
Platform.ReadsPerS=6000
Platform.parts=12
Platform.RecordBytes=262144
Platform.CallBytes=2097152
Platform.keep_s=300
`

// startEntries starts n entries and waits until they are ready.
func (w *world) startEntries(n int) error {
	if w.port == 0 {
		w.port = freePort(w.ip + ".11")
	}
	for i := range n {
		ip := fmt.Sprintf("%s.%d", w.ip, 11+i)
		e := &entry{name: fmt.Sprintf("edge-norte-ovi-%d", i+1), ip: ip, internal: w.port, settings: filepath.Join(w.dir, fmt.Sprintf("boot-%d.conf", i+1))}
		e.front, e.ready, e.control = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
		w.entries = append(w.entries, e)
	}
	for _, e := range w.entries {
		if err := w.writeSettings(e); err != nil {
			return err
		}
		if err := w.startEntry(e); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if err := e.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings places the settings file of an entry, whole at any time.
func (w *world) writeSettings(e *entry) error {
	seeds := slices.Clone(w.seeds)
	for _, other := range w.entries[:min(3-len(seeds), len(w.entries))] {
		seeds = append(seeds, other.control)
	}
	text := fmt.Sprintf(settingsText, e.name, e.ip, e.front, e.ready, e.control, e.internal, e.internal+3, strings.Join(seeds, ","), w.storeAddress)
	if err := os.WriteFile(e.settings+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(e.settings+".new", e.settings)
}

func (w *world) startEntry(e *entry) error {
	root, err := filepath.Abs(filepath.Join(w.caseDir, "..", ".."))
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command("target/cassiarampd", "--platform", "--signers", "deploy/signers.json")
	e.cmd.Dir = root
	e.cmd.Path = filepath.Join(root, "target/cassiarampd")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CASSIARAMP_BOOT=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	return w.start(e.cmd)
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.ready + "/api/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *entry) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", e.name, limit)
}

// result is the answer to a request as its client saw it.
type result struct {
	id        string
	status    int
	signature string
	body      []byte
	err       error // why the answer is not whole by its framing; nil if it is
	took      time.Duration
}

// isComplete reports whether the answer looks complete to its client.
func (r *result) isComplete() bool { return r.err == nil }

// isWhole reports whether the body is that of which the engine has signed the whole.
func (r *result) isWhole() bool {
	sum := sha256.Sum256(r.body)
	return hex.EncodeToString(sum[:8]) == r.signature
}

func (w *world) nextID() string { return fmt.Sprintf("9c41d07b%08x", w.ids.Add(1)) }

// send sends a request on a new channel, and reads the answer to its end.
func (w *world) send(e *entry, method, path, key string, header string, timeout time.Duration) *result {
	r := &result{id: w.nextID()}
	start := time.Now()
	defer func() {
		r.took = time.Since(start)
		w.note("%s %s %s key %q at %s: status %d, signature %q, %d bytes, complete %t, %v, after %.3f s", r.id, method, path, key, e.name, r.status, r.signature, len(r.body), r.isComplete(), r.err, r.took.Seconds())
	}()
	conn, err := net.DialTimeout("tcp4", e.front, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer conn.Close()
	if r.err = conn.SetDeadline(start.Add(timeout + time.Second)); r.err != nil {
		return r
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s", method, path, hostName, r.id, timeout.Milliseconds(), header)
	if key != "" {
		fmt.Fprintf(&b, "Api-Key: %s\r\n", key)
	}
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("x", 600)
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(&b, "\r\n%s", body)
	if _, r.err = conn.Write(b.Bytes()); r.err != nil {
		return r
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	r.status, r.signature = resp.StatusCode, resp.Header.Get("Response-Signature")
	if got := resp.Header.Get("Request-Id"); got != r.id {
		r.err = fmt.Errorf("answer of request %q", got)
		return r
	}
	r.body, r.err = io.ReadAll(resp.Body)
	return r
}

// sendAll sends n requests at the same time to the entries in turn.
func (w *world) sendAll(n int, method, path, key string) []*result {
	results := make([]*result, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			results[i] = w.send(w.entries[i%len(w.entries)], method, path+strconv.Itoa(i), key, "", 8*time.Second)
		})
	}
	group.Wait()
	return results
}

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	cannot  = 2
	longest = 115 * time.Second
)

var errUsage = errors.New("usage: standin2 case NAME DIR | standin2 engine FLAGS")
