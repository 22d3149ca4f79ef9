package faultsoak

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

// deployment describes a deployment of the users: its targets and its requests.
type deployment struct {
	name          string
	engineService string // 9 engines
	plainService  string
	plainTargets  int
	profile       emulator.Profile // of the engines; Speed is that of each
	speeds        []float64        // of the engines, in turn
	slots         int              // of an engine
	kinds         []*requestKind
	perSecond     float64 // requests, before bursts
	clump         int     // requests that come at the same time
	callers       int
}

// requestKind is one kind of requests, which has a route of its own.
type requestKind struct {
	name      string
	share     float64 // of the requests, in any unit
	kind      string  // of the route
	resumable bool
	attempts  int
	priority  int
	objective time.Duration
	limit     time.Duration // of a caller
	timeout   time.Duration // of the route
	events    distribution  // of a stream
	prompt    distribution  // tokens
	body      distribution  // bytes
	work      distribution  // ms of a plain request
	failShare float64       // of runs of a plain request
}

// distribution is a log-normal one, cut at max.
type distribution struct{ mean, spread, max float64 }

func (d distribution) draw(random *rand.Rand) int {
	if d.mean == 0 {
		return 0
	}
	v := d.mean * math.Exp(d.spread*random.NormFloat64()-d.spread*d.spread/2)
	return int(max(1, math.Round(min(v, d.max))))
}

// once reports whether requests of the kind may run once at most.
func (k *requestKind) once() bool {
	return k.kind == "non_idempotent" || k.kind == "streaming" && !k.resumable
}

// patience is the time without an event after which a caller leaves a stream.
func (k *requestKind) patience() time.Duration {
	return max(2*time.Second, 4*k.objective, 8*eventGap)
}

const (
	engineCount      = 9
	deploymentGrace  = 8 * time.Second
	eventGap         = 250 * time.Millisecond
	engineIdle       = 5 * time.Second
	callerIdle       = 4 * time.Second        // IdleTimeoutMs, which a configuration may change
	lossSlack        = 200 * time.Millisecond // LossSlackMs
	configTime       = 2 * time.Second        // ConfigMs
	stableWindow     = 3 * time.Second        // StableWindowMs
	plainSlots       = 6
	plainQueue       = 24
	plainConnections = 110
	entryCPUShare    = 0.304
	// Configurations move routes of plain requests to a service with movedTargets targets.
	movedTargets = 2
	// They move or split routes of streams to a service with movedEngines targets, if the fleet has it.
	movedEngines = 6
	movedSuffix  = "-moved"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// deployments are the users' deployments. Their rates are those of the users' days, whose
// highest are about a tenth higher.
var deployments = []*deployment{
	{
		name: "tbl-plan", engineService: "plan-llm", plainService: "quay-app", plainTargets: 4, slots: 9, speeds: []float64{0.68, 0.68, 3}, perSecond: 137, clump: 1, callers: 57,
		profile: emulator.Profile{Queue: 54, MaxConnections: 620, FirstEvent: ms(26), Step: 17750 * time.Microsecond, StepPerSlot: 231 * time.Microsecond, PromptTokenTime: time.Millisecond / 157, PromptSlows: 4.7},
		kinds: []*requestKind{
			{name: "stow-seq", share: 42.5, kind: "streaming", attempts: 1, objective: ms(400), limit: ms(8000), timeout: ms(8000),
				events: distribution{23.9, 1.5, 240}, prompt: distribution{3720, 1.1, 53200}, body: distribution{17000, 0, 100000}},
			{name: "trim-check", share: 18.3, kind: "streaming", resumable: true, attempts: 2, priority: 1, objective: ms(300), limit: ms(5000), timeout: ms(5000),
				events: distribution{10.4, 1.5, 100}, prompt: distribution{2890, 1, 39600}, body: distribution{9200, 0, 55000}},
			{name: "crane-split", share: 40.5, kind: "streaming", attempts: 1, priority: 2, objective: ms(300), limit: ms(10000), timeout: ms(10000),
				events: distribution{34.5, 1.5, 340}, prompt: distribution{1110, 1, 3790}, body: distribution{1500, 0, 8700}},
			{name: "berth-ready", share: 25.3, kind: "non_idempotent", attempts: 1, priority: 2, objective: ms(100), limit: ms(600), timeout: ms(1000),
				work: distribution{15, 0.5, 110}, body: distribution{600, 0.5, 3600}, failShare: 0.004},
			{name: "tally-ping", share: 10.1, kind: "idempotent", attempts: 2, priority: 2, objective: ms(100), limit: ms(600), timeout: ms(1000),
				work: distribution{15, 0.5, 110}, failShare: 0.14},
		},
	},
	{
		name: "pelletier-gauge", engineService: "gauge-llm", plainService: "tank-screens", plainTargets: 4, slots: 9, speeds: []float64{0.68, 0.68, 3}, perSecond: 143, clump: 1, callers: 56,
		profile: emulator.Profile{Queue: 54, MaxConnections: 630, FirstEvent: ms(26), Step: 17750 * time.Microsecond, StepPerSlot: 231 * time.Microsecond, PromptTokenTime: time.Millisecond / 157, PromptSlows: 4.7},
		kinds: []*requestKind{
			{name: "recon", share: 37.6, kind: "streaming", resumable: true, attempts: 2, objective: ms(400), limit: ms(8000), timeout: ms(8000),
				events: distribution{23.9, 1.5, 240}, prompt: distribution{3720, 1.1, 53200}, body: distribution{17000, 0, 100000}},
			{name: "handover", share: 28.1, kind: "streaming", attempts: 1, priority: 1, objective: ms(600), limit: ms(5000), timeout: ms(5000),
				events: distribution{10.4, 1.5, 100}, prompt: distribution{2890, 1, 39600}, body: distribution{9200, 0, 55000}},
			{name: "variance", share: 40.5, kind: "streaming", resumable: true, attempts: 2, priority: 2, objective: ms(800), limit: ms(10000), timeout: ms(10000),
				events: distribution{34.5, 1.5, 340}, prompt: distribution{1110, 1, 3790}, body: distribution{1500, 0, 8700}},
			{name: "alarm-ack", share: 26.6, kind: "non_idempotent", attempts: 1, priority: 2, objective: ms(100), limit: ms(1000), timeout: ms(1000),
				work: distribution{15, 0.5, 110}, body: distribution{600, 0.5, 3600}, failShare: 0.004},
			{name: "lineup", share: 10.6, kind: "idempotent", attempts: 2, priority: 2, objective: ms(100), limit: ms(1000), timeout: ms(1000),
				work: distribution{15, 0.5, 110}, failShare: 0.14},
		},
	},
	{
		name: "fjordvakt-ramp", engineService: "crew-assistant", plainService: "depot-dispatch", plainTargets: 3, slots: 12, speeds: []float64{0.55, 1, 2.8}, perSecond: 122, clump: 3, callers: 60,
		profile: emulator.Profile{Queue: 72, MaxConnections: 370, FirstEvent: ms(62), Step: 19620 * time.Microsecond, StepPerSlot: 494 * time.Microsecond, PromptTokenTime: time.Millisecond / 125, PromptSlows: 3.5},
		kinds: []*requestKind{
			{name: "survey-digest", share: 20.7, kind: "streaming", attempts: 1, objective: ms(600), limit: ms(15000), timeout: ms(15000),
				events: distribution{63.7, 1.5, 640}, prompt: distribution{6610, 1.4, 54600}, body: distribution{12000, 0, 72000}},
			{name: "repair-note", share: 29.2, kind: "streaming", resumable: true, attempts: 2, priority: 1, objective: ms(300), limit: ms(12000), timeout: ms(12000),
				events: distribution{48.6, 1.5, 490}, prompt: distribution{628, 1, 3310}, body: distribution{830, 0, 5000}},
			{name: "segment-tag", share: 40.6, kind: "streaming", attempts: 1, priority: 2, objective: ms(400), limit: ms(3000), timeout: ms(3000),
				events: distribution{3.76, 1.5, 38}, prompt: distribution{1800, 1.3, 6870}, body: distribution{2400, 0, 14000}},
			{name: "slot-book", share: 22.6, kind: "non_idempotent", attempts: 1, priority: 2, objective: ms(300), limit: ms(4000), timeout: ms(2000),
				work: distribution{60, 0.5, 450}, body: distribution{600, 0.5, 3600}, failShare: 0.004},
			{name: "order-look", share: 9.04, kind: "idempotent", attempts: 2, priority: 2, objective: ms(300), limit: ms(4000), timeout: ms(2000),
				work: distribution{60, 0.5, 450}, failShare: 0.14},
		},
	},
}

// tenantShares are the shares of the requests that the tenants send; a few are large.
var tenantShares = []float64{0.45, 0.25, 0.15, 0.1, 0.05}

// deploymentSettings are the settings of an entry that newWorld does not set.
const deploymentSettings = "Role=my-edge\nMachineClass=edge\nServes=edge,control_plane\nRegion=r\nZones.a=r\nLimits.CpuShare=0.304\nLimits.Cores=1\nLimits.MaxFds=4100\n" +
	"Bounds.ReuseAfterS=2\nBounds.StableWindowMs=3000\nBounds.AckMs=4000\nBounds.CatchUpS=4\nBounds.LossSlackMs=200\nBounds.ConfigMs=2000\nBounds.RollbackSlackMs=250\n" +
	"Bounds.MaxStretchMs=5000\nBounds.QuotaOverage=0.1\nBounds.QuotaSlack=190000\nBounds.RecoveryS=12\nBounds.PassMs=120\nBounds.RetryAfterS=10\n" +
	"Platform.form=log\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\n"

// start starts the targets and entries of a deployment.
func (d *deploymentRun) start() {
	w := d.world
	w.grace, w.extraSettings, w.cpuShare = deploymentGrace, deploymentSettings, *shareFlag
	if *shareFlag > 0 { // the processes have one core each
		w.t.Setenv("GOMAXPROCS", "1")
	}
	engines := engineCount
	if d.fleet.services() > 1 {
		engines += movedEngines
	}
	processes, movedProcesses := *processesFlag, 0
	if d.fleet.services() > 1 { // some of each service
		movedProcesses = processes / 2
		processes -= movedProcesses
	}
	if *endingFlag != "" {
		processes, movedProcesses = engineCount, movedEngines
	}
	for i := range engines {
		service := d.engineService
		if i >= engineCount {
			service += movedSuffix
		}
		profile := d.profile
		profile.Speed, profile.IdleTimeout, profile.CloseShare, profile.LateShare = d.speeds[i%len(d.speeds)], engineIdle, 0.01, 0.004
		profile.AbruptShare, profile.PreemptShare, profile.PreemptTime, profile.RepeatShare, profile.UnframedShare = 0.004, 0.02, ms(3000), 0.5, 0.5
		profile.RunsOn, profile.NoticesCloseLate, profile.EndsProperly, profile.Beyond = i%5 == 4, *lateCloseFlag, i%2 == 0, *beyondFlag
		if d.openFaults() {
			profile.StrayShare, profile.SpoiledShare = 0.02, 0.004
		}
		d.addTarget(&emulator.Target{ID: fmt.Sprintf("i-%s-%d", service, i), Service: service, Slots: d.slots, EventsPerStream: 1, Software: d.software(service, false), Ledger: w.ledger, Profile: &profile}, i < processes || i >= engineCount && i < engineCount+movedProcesses)
	}
	for i := range d.plainTargets + movedTargets {
		service := d.plainService
		if i >= d.plainTargets {
			service += movedSuffix
		}
		profile := emulator.Profile{Queue: plainQueue, Speed: 1, IdleTimeout: engineIdle, MaxConnections: plainConnections, CloseShare: 0.01, LateShare: 0.004, AbruptShare: 0.004, RunsOn: i == 0, NoticesCloseLate: *lateCloseFlag}
		d.addTarget(&emulator.Target{ID: fmt.Sprintf("i-%s-%d", service, i), Service: service, Slots: plainSlots, Software: d.software(service, false), Ledger: w.ledger, Profile: &profile}, i < *processesFlag)
	}
	d.writeConfiguration()
	for i := range 5 {
		w.addEntry(i, w.storeAddress)
	}
	go w.repeatTargetRecords()
}

// addTarget starts a target on a new address, in a process of its own or behind a proxy if
// -faultsoak.proxies is given.
func (d *deploymentRun) addTarget(t *emulator.Target, process bool) {
	e := &engine{Target: t, startedAt: time.Now()}
	if process && !*proxiesFlag {
		d.startProcess(e, "127.0.0.1:0")
	} else if socket := d.listen("127.0.0.1:0"); socket != nil {
		e.serveOn(socket)
		if *proxiesFlag {
			e.proxy = emulator.NewProxy(e.proxyAddress)
			e.proxy.CloseDelayMs.Store(proxyCloseDelay.Milliseconds())
			e.proxyAddress = d.world.serveOn("127.0.0.1:0", e.proxy.Serve)
		}
	}
	d.world.engines = append(d.world.engines, e)
	d.world.putTargetRecord(e, "ready")
}

// proxyCloseDelay is the longest time by which proxies close late.
const proxyCloseDelay = 50 * time.Millisecond

// listen returns a new socket at an address, or nil.
func (d *deploymentRun) listen(address string) *emulator.Socket {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		d.world.t.Error(err)
		return nil
	}
	return emulator.NewSocket(ln)
}

// listenAgain serves a target at the address of one that has ended, on a new socket.
func (d *deploymentRun) listenAgain(e, before *engine) {
	if socket := d.listen(before.socket.Addr().String()); socket != nil {
		e.serveInPlace(before, socket)
	}
}

// serveInPlace serves a target on a socket, behind the proxy of one that has ended, if it had one.
func (e *engine) serveInPlace(before *engine, socket *emulator.Socket) {
	e.serveOn(socket)
	e.proxy, e.proxyAddress = before.proxy, before.proxyAddress
}

// serveOn serves a target on a socket until its server is closed.
func (e *engine) serveOn(socket *emulator.Socket) {
	e.socket, e.listener, e.proxyAddress, e.server = socket, socket, socket.Addr().String(), e.NewServer()
	go e.ServeLimited(e.server, socket.Process())
}

// writeConfiguration writes a new version of the configuration with the changes made so far.
func (d *deploymentRun) writeConfiguration() {
	d.configVersion += 1 + d.random.IntN(5)
	var routes []any
	for _, k := range d.kinds {
		routes = append(routes, map[string]any{
			"Name": k.name, "Host": "h", "PathPrefix": "/" + k.name + "/", "Kind": k.kind, "TrafficSplit": d.traffic(k), "MaxAttempts": k.attempts,
			"TimeoutMs": float64(k.timeout.Milliseconds()) * d.timeoutFactor[k], "TargetLatencyMs": k.objective.Milliseconds(), "TargetGapMs": eventGap.Milliseconds(),
			"Resumable": k.resumable, "Priority": k.priority, "SessionAffinity": k.kind == "streaming",
		})
	}
	for n := range d.idleRoutes {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("idle%d", n), "Host": "h", "PathPrefix": fmt.Sprintf("/idle%d/", n), "Kind": "idempotent", "Service": d.plainService, "MaxAttempts": 1, "TimeoutMs": 1000,
		})
	}
	var tenants []any
	for i := range tenantShares {
		keys := []string{fmt.Sprintf("key%d", i)}
		if d.extraKeys {
			keys = append(keys, fmt.Sprintf("extra%d-%d", i, d.configVersion))
		}
		tenants = append(tenants, map[string]any{"Name": fmt.Sprintf("tenant%d", i), "ApiKeys": keys, "Unit": "tokens", "PlainTokens": 200})
	}
	b, err := json.Marshal(map[string]any{
		"Version": d.configVersion, "Routes": routes, "Tenants": tenants,
		"Services": []any{
			map[string]any{"Name": d.plainService, "HealthPath": emulator.HealthPath}, map[string]any{"Name": d.plainService + movedSuffix, "HealthPath": emulator.HealthPath},
			map[string]any{"Name": d.engineService, "HealthPath": emulator.HealthPath, "Engine": map[string]any{"Slots": d.slots}},
			map[string]any{"Name": d.engineService + movedSuffix, "HealthPath": emulator.HealthPath, "Engine": map[string]any{"Slots": d.slots}},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16 << 10, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": d.idleTimeout.Milliseconds()},
	})
	if err != nil {
		d.world.t.Fatal(err)
	}
	d.note("configuration", "", time.Now())
	d.world.store.Put("keyed.op", "config", b)
}
