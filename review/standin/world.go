package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines of a deployment, as DEPLOY says. Each machine has a
// loopback address of its own.
const (
	frontPort, readyPort, controlPort = 8221, 8224, 8229
	enginePort, storePort             = 8080, 8225
	zone, region                      = "bc-coast-a", "bc-coast"
	apiKey, tenant                    = "asnmgkcuyj8pjbvk9m68", "hule930"
	host                              = "ficu95.example"
	heartbeat                         = 1200 * time.Millisecond
	restartDelay                      = 500 * time.Millisecond
)

// world is a small deployment on loopback addresses: entries, which are the project's own
// program, and stand-ins for the store and the engines.
type world struct {
	root, dir string // of the project, and a temporary directory
	net       string // the first three bytes of the loopback addresses
	ledger    *ledger
	store     *store
	bounds    string // lines of the settings
	entries   []*entry
	engines   []*engine
	closing   chan struct{}
}

// entry is a machine with the project's program.
type entry struct {
	name, ip string
	settings string
	log      *os.File

	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
	exit      string
	stoppedAt time.Time // of the SIGTERM; zero before
	startedAt time.Time // of the process that started after it; far away before
	misses    int       // readiness questions without a 200, in a row
}

func newWorld(root string, out io.Writer) *world {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	w := &world{root: root, dir: dir, ledger: newLedger(out), store: newStore(), closing: make(chan struct{})}
	for { // a loopback network whose ports are free
		w.net = fmt.Sprintf("127.%d.%d", 10+rand.IntN(240), rand.IntN(250))
		ln, err := net.Listen("tcp4", fmt.Sprintf("%s.250:%d", w.net, storePort))
		if err == nil {
			go w.store.serve(ln)
			return w
		}
	}
}

func (w *world) storeAddress() string { return fmt.Sprintf("%s.250:%d", w.net, storePort) }

// addEngine starts an engine and writes its record at intervals.
func (w *world) addEngine(e *engine) {
	e.id = fmt.Sprintf("i-%08x", rand.Uint32())
	e.address = fmt.Sprintf("%s.%d:%d", w.net, 100+len(w.engines), enginePort)
	e.ledger = w.ledger
	ln, err := net.Listen("tcp4", e.address)
	check(err)
	go e.serve(ln)
	w.engines = append(w.engines, e)
	go func() {
		for n := 1; ; n++ {
			w.store.put("keyed.servers", e.id, map[string]any{
				"Service": e.service, "Address": e.address, "Zone": zone, "Version": "v1", "Slots": e.slots, "State": "ready", "ColdRemainingMs": 0, "Sequence": n,
			})
			select {
			case <-time.After(heartbeat):
			case <-w.closing:
				return
			}
		}
	}()
}

// addEntry writes the settings of an entry.
func (w *world) addEntry() *entry {
	e := &entry{name: fmt.Sprintf("edge-%s-%d", zone, len(w.entries)+1), ip: fmt.Sprintf("%s.%d", w.net, 1+len(w.entries))}
	e.settings = filepath.Join(w.dir, e.name+".conf")
	log, err := os.Create(filepath.Join(w.dir, e.name+".log"))
	check(err)
	e.log = log
	w.entries = append(w.entries, e)
	return e
}

// start starts an entry with the command of the deploy file. first says that the whole system
// starts for the first time.
func (w *world) start(e *entry, first bool) {
	var seeds []string
	for _, s := range w.entries {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip, controlPort))
	}
	text := fmt.Sprintf(`NodeName=%s
Role=entry
MachineClass=edge
Serves=edge,control_plane
Ip=%s
Zone=%s
Region=%s
Zones.%s=%s
Listen.Front=%s:%d
Listen.Ready=%s:%d
Listen.Control=%s:%d
InternalPorts=7400,7415
Seeds=%s
Bootstrap=%t
Limits.CpuShare=0.8
Limits.Cores=1
Limits.MemoryMb=536
Limits.MaxFds=8192
Limits.LinkMbps=200.0
Discovery=platform
Entry=virtual_ip
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,health,pool,engine,stream,tenants,quota,pressure,platform
%sPlatform.Address=%s
Platform.form=log
`, e.name, e.ip, zone, region, zone, region, e.ip, frontPort, e.ip, readyPort, e.ip, controlPort, strings.Join(seeds, ","), first, w.bounds, w.storeAddress())
	check(os.WriteFile(e.settings, []byte(text), 0o600))
	cmd := exec.Command("target/cassiarampd", "--platform", "--signers", "deploy/signers.json")
	cmd.Dir = w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CASSIARAMP_BOOT=" + e.settings}
	cmd.Stdout, cmd.Stderr = e.log, e.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	exited := make(chan struct{})
	e.mu.Lock()
	e.process, e.exited, e.startedAt = cmd, exited, time.Now().Add(time.Hour)
	if !first {
		e.startedAt = time.Now()
	}
	e.mu.Unlock()
	w.ledger.log("entry %s starts", e.name)
	go func() {
		err := cmd.Wait()
		e.mu.Lock()
		e.exit = fmt.Sprint(err)
		e.mu.Unlock()
		w.ledger.log("entry %s has ended: %v", e.name, err)
		close(exited)
	}()
}

// stop sends SIGTERM, and SIGKILL after the grace period. The process starts again after a
// short delay.
func (w *world) stop(e *entry, grace time.Duration) {
	e.mu.Lock()
	e.stoppedAt = time.Now()
	e.mu.Unlock()
	w.ledger.log("SIGTERM to %s", e.name)
	check(e.process.Process.Signal(syscall.SIGTERM))
	go func() {
		select {
		case <-e.exited:
		case <-time.After(grace):
			w.ledger.log("SIGKILL to %s", e.name)
			_ = e.process.Process.Kill()
			<-e.exited
		}
		select {
		case <-time.After(restartDelay):
			w.start(e, false)
		case <-w.closing:
		}
	}()
}

// termAt returns when the process that took a request at a time got SIGTERM, or zero.
func (e *entry) termAt(sent time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sent.After(e.startedAt) {
		return time.Time{}
	}
	return e.stoppedAt
}

// isReady asks an entry whether it is ready, as the platform does.
func (e *entry) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", e.ip, readyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (w *world) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range w.entries {
			if e.isReady() {
				ready++
			}
		}
		if ready == len(w.entries) {
			return true
		}
	}
	return false
}

// probe asks the entries once a second whether they are ready.
func (w *world) probe() {
	for {
		for _, e := range w.entries {
			go func() {
				ready := e.isReady()
				e.mu.Lock()
				defer e.mu.Unlock()
				if e.misses++; ready {
					e.misses = 0
				}
			}()
		}
		select {
		case <-time.After(time.Second):
		case <-w.closing:
			return
		}
	}
}

// pick returns the entry to which the platform forwards a new channel of a requester, by a
// hash of that. After two misses an entry gets no new ones, but if fewer than half of the
// zone's entries are in rotation, the platform uses all of them.
func (w *world) pick(requester int) *entry {
	var in []*entry
	for _, e := range w.entries {
		e.mu.Lock()
		if e.misses < 2 {
			in = append(in, e)
		}
		e.mu.Unlock()
	}
	if 2*len(in) < len(w.entries) {
		in = w.entries
	}
	return in[requester%len(in)]
}

// close ends all processes.
func (w *world) close() {
	close(w.closing)
	for _, e := range w.entries {
		e.mu.Lock()
		process, exited := e.process, e.exited
		e.mu.Unlock()
		if process != nil {
			_ = process.Process.Signal(syscall.SIGCONT)
			_ = process.Process.Kill()
			<-exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs of the entries:", w.dir)
	}
}

// cannotRun ends the case because it could not run.
func (w *world) cannotRun(why string) {
	fmt.Println(why)
	w.close()
	os.Exit(2)
}

// call is one attempt of a requester.
type call struct {
	id          string
	entry       *entry
	sent, ended time.Time // sent: after its last byte
	status      int
	header      http.Header
	body        string
	whole       bool // the answer is complete
	err         error
}

// do sends a request on a connection and reads the answer. patience is the longest time
// without progress after which the requester leaves.
func do(c net.Conn, in *bufio.Reader, request string, a *call, patience, limit time.Duration) {
	begun := time.Now()
	end := begun.Add(limit)
	defer func() { a.ended = time.Now() }()
	if _, a.err = io.WriteString(c, request); a.err != nil {
		return
	}
	a.sent = time.Now()
	deadline := func() {
		t := time.Now().Add(patience)
		if t.After(end) {
			t = end
		}
		_ = c.SetReadDeadline(t)
	}
	deadline()
	resp, err := http.ReadResponse(in, nil)
	if a.err = err; err != nil {
		return
	}
	a.status, a.header = resp.StatusCode, resp.Header
	var body strings.Builder
	buf := make([]byte, 8<<10)
	for {
		deadline()
		n, err := resp.Body.Read(buf)
		body.Write(buf[:n])
		if err != nil {
			a.body = body.String()
			if a.whole = err == io.EOF; !a.whole {
				a.err = err
			}
			return
		}
	}
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
