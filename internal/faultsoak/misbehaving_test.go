package faultsoak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"
)

var (
	clientsFlag         = flag.String("faultsoak.clients", "", "kind of misbehaving clients to run alone; empty for a mix of all")
	connectionsFlag     = flag.Int("faultsoak.connections", 150, "misbehaving connections at a time")
	misbehavingTimeFlag = flag.Duration("faultsoak.misbehaving", 6*time.Second, "how long clients misbehave")
	pathsFlag           = flag.String("faultsoak.path", "", "path that misbehaving clients use: route, none or ready; empty for all")
	attackRateFlag      = flag.Int("faultsoak.attackrate", 24, "what misbehaving clients send together at most, in MiB a second")
	onTimeFlag          = flag.Float64("faultsoak.ontime", 0, "least share of ordinary requests on time; it depends on the load of the machine")
	eventFlag           = flag.String("faultsoak.event", "", "what happens meanwhile: stop, configuration or store; empty for nothing")
)

const (
	smallMemoryMB = 184 // of the smallest entries
	// largestBody is the operator's limit.
	largestBody = 4 << 20
	// ordinaryInterval is the time between the requests of ordinary callers, and onTime the
	// time within which they want a response.
	ordinaryInterval = 10 * time.Millisecond
	onTime           = 500 * time.Millisecond
)

// misbehavingKinds are the kinds of clients. Each uses one connection until it fails.
var misbehavingKinds = map[string]func(c *misbehavingClient){
	"unfinished":   func(c *misbehavingClient) { c.post(largestBody); c.fill(largestBody - 1); c.await() },
	"small-pieces": func(c *misbehavingClient) { c.post(largestBody); c.pieces(largestBody-1, 1000); c.await() },
	"chunks":       (*misbehavingClient).chunks,
	"too-large":    func(c *misbehavingClient) { c.chunked(); c.endless() },
	"fields":       (*misbehavingClient).fields,
	"short-fields": (*misbehavingClient).shortFields,
	"pipelined":    (*misbehavingClient).pipelined,
	"slow-sender":  func(c *misbehavingClient) { c.post(largestBody); c.pieces(largestBody, 1) },
	"slow-head":    func(c *misbehavingClient) { c.write("GET / HT"); c.await() },
	"silent":       func(c *misbehavingClient) { c.await() },
}

// attackers is what all misbehaving clients have in common.
type attackers struct {
	clients, sent atomic.Int64 // connections, and bytes
	rate          *rate.Limiter
}

// misbehavingClient is one connection.
type misbehavingClient struct {
	net.Conn
	ctx  context.Context
	path string
	err  error
	all  *attackers
}

// write sends text unless an earlier write has failed.
func (c *misbehavingClient) write(text string) {
	if c.err == nil && c.ctx.Err() == nil {
		if c.err = c.all.rate.WaitN(c.ctx, len(text)); c.err == nil {
			_, c.err = io.WriteString(c, text)
			c.all.sent.Add(int64(len(text)))
		}
	}
}

func (c *misbehavingClient) head(method string) {
	c.write(method + " " + c.path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: bad\r\nApi-Key: key\r\n")
}

func (c *misbehavingClient) post(size int) {
	c.head("POST")
	c.write(fmt.Sprintf("Content-Length: %d\r\n\r\n", size))
}

func (c *misbehavingClient) chunked() {
	c.head("POST")
	c.write("Transfer-Encoding: chunked\r\n\r\n")
}

var filling = strings.Repeat("a", 64<<10)

func (c *misbehavingClient) fill(n int) {
	for ; n > 0 && c.err == nil; n -= len(filling) {
		c.write(filling[:min(n, len(filling))])
	}
}

// pieces sends n bytes, size at a time, as long as the test runs.
func (c *misbehavingClient) pieces(n, size int) {
	for ; n > 0 && c.err == nil && c.ctx.Err() == nil; n -= size {
		c.write(filling[:min(n, size)])
		time.Sleep(time.Millisecond)
	}
}

func (c *misbehavingClient) chunks() {
	c.chunked()
	for n := 0; n < largestBody-4096 && c.err == nil && c.ctx.Err() == nil; n += 4096 {
		c.write("1000;extension=" + filling[:100] + "\r\n" + filling[:4096] + "\r\n")
	}
	c.await()
}

func (c *misbehavingClient) endless() {
	for c.err == nil && c.ctx.Err() == nil {
		c.write("10000\r\n" + filling + "\r\n")
	}
}

func (c *misbehavingClient) fields() {
	c.head("GET")
	for n := 0; n < 10000 && c.err == nil; n += 100 {
		var b strings.Builder
		for i := range 100 {
			fmt.Fprintf(&b, "%x:\r\n", 0xa000+n+i)
		}
		c.write(b.String())
	}
	c.await()
}

// shortFields sends a request of as many fields as the operator's limit allows.
func (c *misbehavingClient) shortFields() {
	c.head("GET")
	c.write(strings.Repeat("a:\r\n", 3000) + "\r\n")
	c.await()
}

func (c *misbehavingClient) pipelined() {
	for c.err == nil && c.ctx.Err() == nil {
		for range 100 {
			c.head("GET")
			c.write("\r\n")
		}
	}
}

// await keeps the connection open until the other end closes it.
func (c *misbehavingClient) await() {
	if c.err == nil {
		_, _ = io.Copy(io.Discard, c) // ends with the connection
	}
}

// misbehave runs n clients at a time until ctx ends, and returns how many connected and the
// bytes that they sent.
func (w *world) misbehave(ctx context.Context, e *entry, n int) (clients, sent int64) {
	var group sync.WaitGroup
	all := &attackers{rate: rate.NewLimiter(rate.Limit(*attackRateFlag<<20), largestBody)}
	kinds, targets := misbehavingKindNames(), misbehavingTargets(e)
	for i := range n {
		random := newRandom(w.seed<<16 + uint64(i))
		group.Go(func() {
			for ctx.Err() == nil {
				target := targets[random.IntN(len(targets))]
				conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", target[0])
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				stop := context.AfterFunc(ctx, func() { conn.Close() })
				all.clients.Add(1)
				misbehavingKinds[kinds[random.IntN(len(kinds))]](&misbehavingClient{Conn: conn, ctx: ctx, path: target[1], all: all})
				stop()
				conn.Close()
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	return all.clients.Load(), all.sent.Load()
}

func misbehavingKindNames() []string {
	if *clientsFlag != "" {
		return []string{*clientsFlag}
	}
	var names []string
	for name := range misbehavingKinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// misbehavingTargets returns addresses and paths.
func misbehavingTargets(e *entry) (targets [][2]string) {
	callers, ready := fmt.Sprintf("%s:%d", e.ip, callerPort), fmt.Sprintf("%s:%d", e.ip, readyPort)
	for _, t := range []struct{ name, address, path string }{{"route", callers, "/plain/x"}, {"none", callers, "/nowhere"}, {"ready", ready, "/api/ready"}} {
		if *pathsFlag == "" || *pathsFlag == t.name {
			targets = append(targets, [2]string{t.address, t.path})
		}
	}
	return targets
}

// ordinaryLoad is what ordinary callers saw.
type ordinaryLoad struct {
	sent, onTime, refused, lost int
	refusedButRun               int
	lastLate                    time.Time // start of the last request that was not answered on time
}

// sendOrdinary sends small requests to the entry until ctx ends.
func (w *world) sendOrdinary(ctx context.Context, e *entry) (load ordinaryLoad) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(ordinaryInterval)
		id := fmt.Sprintf("ordinary%d", n)
		group.Go(func() {
			r := w.sendRequest(e, id, "plain")
			mu.Lock()
			defer mu.Unlock()
			load.sent++
			took := r.ended.Sub(r.started)
			switch {
			case r.status == http.StatusOK && r.err == nil && took <= onTime:
				load.onTime++
				return
			case r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests || r.status == http.StatusRequestTimeout:
				load.refused++
				if w.ledger.Runs(id) > 0 {
					load.refusedButRun++
				}
			case r.status == 0:
				load.lost++
			}
			if r.started.After(load.lastLate) {
				load.lastLate = r.started
			}
		})
	}
	group.Wait()
	return load
}

// peakMemory returns the peak of the resident memory of the entry's process in KiB.
func (e *entry) peakMemory() (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.process.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			return strconv.Atoi(fields[1])
		}
	}
	return 0, fmt.Errorf("no VmHWM of process %d", e.process.Process.Pid)
}

// limitCallers writes a configuration with the operator's limits.
func (w *world) limitCallers() {
	var c map[string]any
	if err := json.Unmarshal(w.configuration, &c); err != nil {
		w.t.Fatal(err)
	}
	w.configVersion++
	c["Version"] = w.configVersion
	c["Limits"] = map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": largestBody, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
	b, err := json.Marshal(c)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("keyed.op", "config", b)
}

// happen lets the event of eventFlag happen.
func (w *world) happen(e *entry) {
	switch *eventFlag {
	case "stop":
		e.stop()
	case "configuration":
		w.limitCallers()
	case "store":
		e.storeProxy.RefuseNew.Store(true)
		e.storeProxy.Reset(w.random, 1)
	}
}

// TestMisbehavingClients runs an entry with the memory of the smallest ones while clients
// misbehave. Guards against an entry that runs out of memory, ends, or does not serve its
// ordinary callers.
func TestMisbehavingClients(t *testing.T) {
	binary := buildDaemon(t)
	for i := range *seedsFlag {
		t.Run(fmt.Sprintf("seed=%d", *seedFlag+uint64(i)), func(t *testing.T) { runMisbehaving(t, binary, *seedFlag+uint64(i)) })
	}
}

func runMisbehaving(t *testing.T, binary string, seed uint64) {
	w := newEmptyWorld(t, binary, seed)
	defer w.close()
	for i := range 6 {
		w.addEngine(fmt.Sprintf("engine-%d", i), softwareVersions[0], i < 3)
	}
	w.writeConfiguration()
	w.limitCallers()
	w.extraSettings = fmt.Sprintf("Limits.MemoryMb=%d\n", smallMemoryMB) // replaces the one before
	w.addEntry(0, w.storeAddress)
	go w.repeatTargetRecords()
	e := w.entries[0]
	w.waitReady(10 * time.Second)
	idle, err := e.peakMemory()
	if err != nil {
		t.Fatal(err)
	}
	e.mu.Lock()
	first := e.process
	e.mu.Unlock()
	attack, endAttack := context.WithTimeout(t.Context(), *misbehavingTimeFlag)
	defer endAttack()
	ordinary, endOrdinary := context.WithTimeout(t.Context(), *misbehavingTimeFlag+2*time.Second)
	defer endOrdinary()
	var load ordinaryLoad
	var group sync.WaitGroup
	group.Go(func() { load = w.sendOrdinary(ordinary, e) })
	time.AfterFunc(*misbehavingTimeFlag/2, func() { w.happen(e) })
	clients, sent := w.misbehave(attack, e, *connectionsFlag)
	ended := time.Now()
	ready := w.isReady(e)
	group.Wait()
	back := max(0, load.lastLate.Sub(ended))
	e.mu.Lock()
	same := e.process == first
	e.mu.Unlock()
	peak, err := e.peakMemory()
	if err != nil {
		t.Fatal(err)
	}
	share := float64(load.onTime) / float64(max(1, load.sent))
	t.Logf("seed %d: kinds %v, %d connections, %d clients, %d MiB sent; peak %d KiB (idle %d); ordinary %+v, on time %.4f, capacity back after %v",
		seed, misbehavingKindNames(), *connectionsFlag, clients, sent>>20, peak, idle, load, share, back)
	if peak > smallMemoryMB<<10 {
		t.Errorf("peak memory %d KiB, the limit is %d", peak, smallMemoryMB<<10)
	}
	if load.lost+load.refusedButRun > 0 && *eventFlag != "stop" || load.refusedButRun > 0 {
		t.Errorf("%d ordinary requests lost, %d refused though run", load.lost, load.refusedButRun)
	}
	if *eventFlag != "stop" && (!same || !ready || share < *onTimeFlag) {
		t.Errorf("same process %t, ready %t, %.4f of the ordinary requests on time, want %.2f", same, ready, share, *onTimeFlag)
	}
}
