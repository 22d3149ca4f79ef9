package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// probeTimeout bounds a probe with all its tries. The caller has all events of its stream
	// meanwhile, and waits for the end, for 2 s at least. On a busy machine, opening a connection
	// alone may take longer than a try, and a whole stream would be broken off. For the same reason,
	// pauses of the process do not count. maxProbeTime bounds a probe with all pauses.
	probeTimeout = 1500 * time.Millisecond
	maxProbeTime = 4 * time.Second
	// runningTimeUnit is how often the time is taken in which the process runs. It has paused if it
	// does so more than pauseTime later; at its share of a processor, it pauses for 70 ms at a time.
	runningTimeUnit = 20 * time.Millisecond
	pauseTime       = 100 * time.Millisecond
	// idleProbeTimeout bounds a probe on an idle connection, which may have gone silent for good.
	idleProbeTimeout = 150 * time.Millisecond
	// probePause is the time between the first two tries, and doubles from there on. A target
	// that is at its limit of connections resets new ones until others are closed.
	probePause = 50 * time.Millisecond
	// probeShareTime is how long a probe waits for the one before it, to be shared by all
	// responses that end meanwhile.
	probeShareTime = 50 * time.Millisecond
	// healthTimeout bounds a health check on a new connection, without pauses of the process. Like
	// other requests, it waits for a slot at a target that is full.
	healthTimeout = 300 * time.Millisecond
	// unservedTries is the number of new connections in a row, closed without an answer, after which
	// nothing serves behind the address. A relay closes those for a target that accepts none, while a
	// single answer may be lost.
	unservedTries = 3
	// unservedPause is the time between these tries. A check after which a silent target is believed
	// takes 250 ms at most, and must find the end of a target behind a relay on a busy machine too.
	unservedPause = 20 * time.Millisecond
	// defaultHealthPath is the path of a probe to a target whose service states none.
	defaultHealthPath = "/"
)

// maxProbeBytes bounds the answer to a probe, with what precedes it.
const maxProbeBytes = maxHeadBytes + maxSkippedBytes

// errClosedUnanswered is returned when a connection was closed, not reset, without a byte of an answer.
var errClosedUnanswered = errors.New("closed without an answer")

// probeKey is what the result of a probe is valid for.
type probeKey struct {
	target  state.TargetID
	service state.Service
	address string
	// healthPath is empty if the service has no health checks.
	healthPath string
}

// path returns the path of probes.
func (k probeKey) path() string {
	if k.healthPath == "" {
		return defaultHealthPath
	}
	return k.healthPath
}

// probes are the probes of one target.
type probes struct {
	waiting *sharedProbe // not sent yet; nil for none
	latest  *sharedProbe // sent last; nil for none
}

// sharedProbe is a probe and what all who wait for it learn.
type sharedProbe struct {
	done  chan struct{} // closed when check is set
	check gateway.RunCheck
}

// CheckRunning implements gateway.TargetClient. Only an answer of the same incarnation of the
// target counts as proof, to a request that was sent after the call of CheckRunning began: others
// may accept connections at the address, and what a target has sent before its end may arrive
// later. Calls share a probe that has not been sent yet.
//
// A target with health checks proves that it runs by passing one, since a process that leaves may
// answer for hundreds of milliseconds after it has cancelled its handlers.
func (c *Client) CheckRunning(ctx context.Context, target *state.TargetRecord, healthPath string) gateway.RunCheck {
	p := c.nextProbe(probeKey{target.ID, target.Service, target.Address, healthPath})
	select {
	case <-p.done:
		return p.check
	case <-ctx.Done():
		return gateway.RunCheck{Answer: context.Cause(ctx).Error()}
	}
}

// nextProbe returns the probe of a target that has not been sent yet, and starts one if there is
// none.
func (c *Client) nextProbe(key probeKey) *sharedProbe {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.probes[key]
	if all == nil {
		all = &probes{}
		c.probes[key] = all
	}
	if all.waiting == nil {
		all.waiting = &sharedProbe{done: make(chan struct{})}
		go c.runProbe(key, all, all.waiting, all.latest)
	}
	return all.waiting
}

// runProbe sends a probe after the one before it, if there is one.
func (c *Client) runProbe(key probeKey, all *probes, p, before *sharedProbe) {
	if before != nil {
		select {
		case <-before.done:
		case <-time.After(probeShareTime):
		}
	}
	c.mu.Lock()
	all.waiting, all.latest = nil, p
	c.mu.Unlock()

	ctx, cancel := runningTimeContext(probeTimeout, maxProbeTime)
	defer cancel()
	p.check = c.probe(ctx, key)

	c.mu.Lock()
	if all.latest == p && all.waiting == nil {
		delete(c.probes, key)
	}
	c.mu.Unlock()
	close(p.done)
}

// runningTimeContext returns a context that ends when the process has run for limit, and after maxTime
// at the latest.
func runningTimeContext(limit, maxTime time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	go func() {
		defer cancel()
		ticker := time.NewTicker(runningTimeUnit)
		defer ticker.Stop()
		for last, ran := time.Now(), time.Duration(0); ran < limit; {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			passed := time.Since(last)
			last = last.Add(passed)
			if passed > pauseTime {
				passed = runningTimeUnit
			}
			ran += passed
		}
	}()
	return ctx, cancel
}

// probe asks the target for its incarnation until it is known, or ctx ends.
func (c *Client) probe(ctx context.Context, key probeKey) gateway.RunCheck {
	check := gateway.RunCheck{IdleClosedAt: c.IdleClosedAt(key.target, key.address)}
	unserved := 0 // tries in a row
	for pause := probePause; ; pause *= 2 {
		if conn := c.takeIdle(key.address, func(conn *connection) bool { return !conn.probed }); conn != nil {
			idleCtx, cancel := context.WithTimeout(ctx, idleProbeTimeout)
			decided := c.askIdle(idleCtx, key, conn, &check)
			cancel()
			if decided {
				return check
			}
		}
		ask := c.askIncarnation
		if key.healthPath != "" {
			ask = c.askHealth
		}
		decided, err := ask(ctx, key, &check)
		if decided {
			return check
		}
		if unserved++; !errors.Is(err, errClosedUnanswered) {
			unserved = 0
		}
		// Behind a relay, a full target may close surplus connections too. It keeps idle ones open.
		if unserved >= unservedTries && !c.keepsIdle(key) {
			check.Liveness = gateway.Ended
			return check
		}
		wait := pause
		if unserved > 0 && unserved < unservedTries {
			wait = unservedPause
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			check.TimedOut = true
			return check
		}
	}
}

// askIdle asks on an idle connection. An error proves nothing: targets close idle connections,
// and those to a machine that has gone remain open. The same holds for a rejection, which a target
// may have sent without a request.
func (c *Client) askIdle(ctx context.Context, key probeKey, conn *connection, check *gateway.RunCheck) (decided bool) {
	expected := platform.NoTarget
	if key.healthPath != "" {
		expected = key.target
	}
	answer, err := c.ask(ctx, key, conn, expected, check)
	if err != nil || answer.NotRun && !answer.Misdirected || answer.Instance == "" {
		return false
	}
	if c.Refuses(ctx, key.address) { // it may have closed its listener, and be about to end
		check.Liveness, check.Refused = gateway.Ended, true
		return true
	}
	decide(key, answer, check)
	return true
}

// CheckHealth implements gateway.HealthChecker. A connection that is closed without an answer may be that of
// a relay, so that it asks again, as CheckRunning does.
func (c *Client) CheckHealth(ctx context.Context, target *state.TargetRecord, healthPath string) gateway.RunCheck {
	key := probeKey{target.ID, target.Service, target.Address, healthPath}
	if check, sure := c.askHealthOnIdle(ctx, key); sure {
		return check
	}
	var check gateway.RunCheck
	for tries := 1; ; tries++ {
		decided, err := c.askHealth(ctx, key, &check)
		switch {
		case decided || !errors.Is(err, errClosedUnanswered): // undecided is Unproved
			return check
		case tries < unservedTries:
		case c.keepsIdle(key):
			return check
		default:
			check.Liveness = gateway.Ended
			return check
		}
		select {
		case <-time.After(unservedPause):
		case <-ctx.Done():
			return check
		}
	}
}

// askHealthOnIdle asks for the health of a target on an idle connection, if there is one. The answer is
// sure if it does not speak against the target: others may have been sent without a request.
func (c *Client) askHealthOnIdle(ctx context.Context, key probeKey) (check gateway.RunCheck, sure bool) {
	conn := c.takeIdle(key.address, func(conn *connection) bool { return !conn.probed || conn.namedSinceProbe })
	if conn == nil {
		return check, false
	}
	ctx, cancel := context.WithTimeout(ctx, idleProbeTimeout)
	defer cancel()
	answer, err := c.ask(ctx, key, conn, key.target, &check)
	if err != nil || answer.Instance == "" {
		return check, false
	}
	decide(key, answer, &check)
	return check, check.Liveness == gateway.Running || check.Liveness == gateway.Unproved
}

// askHealth asks on new connections whether the target is healthy and, where the answer does not tell,
// which incarnation answers, for which it needs no slot. The error is that of the only connection: a
// target that has answered on one serves.
func (c *Client) askHealth(ctx context.Context, key probeKey, check *gateway.RunCheck) (decided bool, err error) {
	healthCtx, cancel := runningTimeContext(healthTimeout, maxProbeTime)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	own, decided, err := c.askOnNewConnection(healthCtx, key, key.target, check)
	waited := healthCtx.Err() != nil
	switch {
	case decided || err != nil && !waited:
		return decided, err
	case own.Misdirected:
		check.Liveness = gateway.Ended
		return true, nil
	case !waited && c.namesTargets(key) && decideUnnamed(own, check):
		return true, nil
	}
	other, decided, err := c.askOnNewConnection(ctx, key, platform.NoTarget, check)
	switch {
	case decided && check.SameIncarnation:
		decideUnnamed(own, check)
		return true, nil
	case decided || err != nil:
		return decided, nil
	case other.Misdirected && own.Status == http.StatusOK: // it names itself in no answer
		check.Liveness = gateway.Running
		return true, nil
	case other.Misdirected:
		return !waited && !own.NotRun, nil
	default:
		return !other.NotRun, nil
	}
}

// askIncarnation asks on new connections which incarnation of a target without health checks answers.
// The error is that of the only connection.
func (c *Client) askIncarnation(ctx context.Context, key probeKey, check *gateway.RunCheck) (decided bool, err error) {
	answer, decided, err := c.askOnNewConnection(ctx, key, platform.NoTarget, check)
	if decided || err != nil {
		return decided, err
	}
	if !answer.Misdirected {
		// The target may be full. One that neither names itself nor heeds the instance
		// that is expected cannot be identified.
		return !answer.NotRun, nil
	}
	// The target heeds the instance that is expected, but does not name itself.
	answer, decided, err = c.askOnNewConnection(ctx, key, key.target, check)
	switch {
	case decided || err != nil:
		return decided, nil
	case answer.Misdirected:
		check.Liveness = gateway.Ended
	case answer.NotRun:
		return false, nil // targets also send rejections without a request
	case answer.Status == http.StatusOK:
		check.Liveness = gateway.Running
	}
	return true, nil
}

// decide sets what an answer shows that names an instance. A process that has cancelled its handlers may
// go on answering, so that only a health check shows more than which incarnation answers.
func decide(key probeKey, answer platform.ProbeAnswer, check *gateway.RunCheck) {
	switch {
	case answer.Instance != key.target:
		check.Liveness = gateway.Ended
	case key.healthPath == "" || answer.Status == http.StatusOK:
		check.Liveness = gateway.Running
	case leaves(answer):
		check.Liveness = gateway.Leaving
	default:
		check.SameIncarnation = true
	}
}

// decideUnnamed sets what an answer to a health check shows that names no instance, from a target that
// names itself in other answers, or whose service does. It reports whether it shows anything.
func decideUnnamed(answer platform.ProbeAnswer, check *gateway.RunCheck) bool {
	if answer.Status != http.StatusOK && !leaves(answer) { // a healthy target names itself
		return false
	}
	check.Liveness, check.SameIncarnation = gateway.Leaving, false
	return true
}

// namesTargets reports whether a target of the service of a probe has named itself.
func (c *Client) namesTargets(key probeKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.named[key.service]
}

// rememberName remembers that the targets of a service name themselves if an answer names its target.
func (c *Client) rememberName(key probeKey, answer platform.ProbeAnswer) {
	if answer.Instance != key.target {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.named[key.service] = true
}

// leaves reports whether the answer to a health check says that the target is not healthy or leaves. It
// is rejected by a full target too, which states that all slots are taken or that requests wait.
func leaves(answer platform.ProbeAnswer) bool {
	if answer.Status != http.StatusServiceUnavailable {
		return false
	}
	load := answer.Load
	return !answer.NotRun || load.Stated && load.Running < load.Slots && load.Waiting == 0
}

// askOnNewConnection asks on a new connection. It is decided by a connection that is refused, and by
// an answer that names an instance.
func (c *Client) askOnNewConnection(ctx context.Context, key probeKey, expected state.TargetID, check *gateway.RunCheck) (answer platform.ProbeAnswer, decided bool, err error) {
	conn, err := c.dial(ctx, key.address)
	if err != nil {
		check.Tries++
		check.Asked, check.Answer = "new connection", err.Error()
	} else {
		answer, err = c.ask(ctx, key, conn, expected, check)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		check.Liveness, check.Refused = gateway.Ended, true
		return answer, true, err
	case err == nil && answer.Instance != "":
		decide(key, answer, check)
		return answer, true, nil
	}
	return answer, false, err
}

// ask sends a probe on a connection and reads the answer. The connection goes to the pool if it can
// be reused.
func (c *Client) ask(ctx context.Context, key probeKey, conn *connection, expected state.TargetID, check *gateway.RunCheck) (platform.ProbeAnswer, error) {
	defer context.AfterFunc(ctx, func() { conn.Close() })() // ctx may end before its deadline
	check.Tries++
	check.Asked = fmt.Sprintf("GET %s, expecting %s, on a reused connection: %t", key.path(), expected, conn.reused)
	resp, answer, err := conn.exchangeProbe(ctx, platform.AppendProbe(nil, key.address, key.path(), expected))
	if err != nil {
		if ctx.Err() == nil && conn.limit.left == maxProbeBytes && errors.Is(err, io.ErrUnexpectedEOF) {
			err = fmt.Errorf("%w: %w", errClosedUnanswered, err)
		}
		conn.Close()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		check.Answer = err.Error()
		return answer, err
	}
	c.rememberName(key, answer)
	check.Answer = fmt.Sprintf("status %d of instance %q", answer.Status, answer.Instance)
	head := platform.DecodeResponse(resp)
	_, err = io.CopyN(io.Discard, resp.Body, maxSkippedBytes)
	if !errors.Is(err, io.EOF) || resp.Close || head.EndsWithConnection || answer.Instance == "" || conn.reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		conn.Close()
		return answer, nil
	}
	conn.probed, conn.namedSinceProbe = true, false
	c.keep(conn, resp)
	return answer, nil
}

// exchangeProbe sends a probe and reads the head of the answer. It skips responses that belong to
// other requests.
func (c *connection) exchangeProbe(ctx context.Context, probe []byte) (*http.Response, platform.ProbeAnswer, error) {
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		return nil, platform.ProbeAnswer{}, err
	}
	if _, err := c.Write(probe); err != nil {
		return nil, platform.ProbeAnswer{}, fmt.Errorf("write to %s: %w", c.address, err)
	}
	c.limit.left, c.limit.unlimited = maxProbeBytes, false
	for range maxResponses {
		resp, err := c.readFinalResponse(&http.Request{Method: http.MethodGet})
		if err != nil {
			return nil, platform.ProbeAnswer{}, fmt.Errorf("read answer of %s: %w", c.address, err)
		}
		if answer, own := platform.DecodeProbeAnswer(resp); own {
			return resp, answer, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, platform.ProbeAnswer{}, fmt.Errorf("skip response of %s to another request: %w", c.address, err)
		}
	}
	return nil, platform.ProbeAnswer{}, fmt.Errorf("read answer of %s: %w", c.address, errNoMatchingResponse)
}

// takeIdle removes an idle connection to address that can be reused and suits, and returns it, or nil
// if there is none. One on which a probe was answered does not suit another probe: a late copy of the
// answer could not be told from that to the further one. It precedes the next response that names its
// request.
func (c *Client) takeIdle(address string, suits func(*connection) bool) *connection {
	for {
		conn := c.popSuitable(address, suits)
		if conn == nil {
			return nil
		}
		if time.Now().Before(conn.expiresAt) && conn.reusable() {
			conn.reused = true
			return conn
		}
		conn.Close()
	}
}

func (c *Client) popSuitable(address string, suits func(*connection) bool) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if conn := list[i]; !conn.retired && suits(conn) {
			c.idle[address] = slices.Delete(list, i, i+1)
			return conn
		}
	}
	return nil
}

// keepsIdle reports whether a target keeps an idle connection open on which it has answered. One that
// shuts down closes them.
func (c *Client) keepsIdle(key probeKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.idle[key.address], func(conn *connection) bool {
		return conn.answered && conn.target == key.target && conn.reusable()
	})
}

// IdleClosedAt implements gateway.TargetClient: it returns when the target closed the last of its idle
// connections, or zero if one is still open or there is none. Connections that may have been closed at
// their idle timeout do not count.
func (c *Client) IdleClosedAt(target state.TargetID, address string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var last time.Time
	for _, conn := range c.idle[address] {
		if !conn.answered || conn.target != target {
			continue
		}
		at, closed := netconn.ClosedBy(conn.Conn)
		if !closed {
			return time.Time{}
		}
		if at.Before(conn.idleUntil) && at.After(last) {
			last = at
		}
	}
	return last
}
