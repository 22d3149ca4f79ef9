package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/eventstream"
	"github.com/cassiaramp/cassiaramp/internal/ctl/vars"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/platformclient"
)

const (
	readyTimeout     = 20 * time.Second
	settleTime       = 2 * time.Second         // before a window without load
	warmUpTime       = 2500 * time.Millisecond // the first half spreads the starts of streams
	windowTime       = 6 * time.Second         // duration of a window, except of phaseChange
	changeWindowTime = 3 * time.Second         // duration of the window of phaseChange
	outputTokens     = 96                      // of each request
	callTimeout      = 2 * time.Second
	maxEventBytes    = 1 << 20 // of one server-sent event
)

// The phases of a measurement.
const (
	phaseIdle   = "idle"   // before any load
	phaseLoad   = "load"   // requests in flight
	phaseRest   = "rest"   // idle after a load, when QUIC has discovered the path MTU
	phaseChange = "change" // a bundle is published
)

// measureCommand measures a running deployment.
type measureCommand struct {
	Dir     string `arg:"--dir,required" help:"directory that prepare wrote; file pids has a line NAME PID for each process"`
	Samples string `arg:"--samples,required" help:"file to append samples to"`
	Streams []int  `arg:"--streams,separate" help:"requests in flight; repeatable"`
}

// sample holds the means over the processes of one role in one window of time.
type sample struct {
	Targets   int        `json:"targets"`
	Entries   int        `json:"entries"`
	Role      state.Role `json:"role"`
	Phase     string     `json:"phase"`
	Streams   int        `json:"streams"`   // in flight at all entries together
	Requests  float64    `json:"requests"`  // a second at all entries together
	Sessions  float64    `json:"sessions"`  // of one process
	RSS       float64    `json:"rss"`       // bytes
	Anonymous float64    `json:"anonymous"` // resident bytes that belong to no file
	CPU       float64    `json:"cpu"`       // cores
	// Sent and Received are bytes a second of control traffic: on sessions, and in calls
	// to the log service and the instance list. Of sessions they count the messages on
	// control streams in phaseLoad and whole packets in the other phases.
	Sent       float64 `json:"sent"`
	Received   float64 `json:"received"`
	Control    float64 `json:"control"`               // messages on control streams a second, both ways
	ControlIn  float64 `json:"control_in"`            // bytes on control streams a second, received
	ControlOut float64 `json:"control_out"`           // the same, sent
	Attempts   float64 `json:"attempts"`              // bytes on attempt streams a second, both ways
	LogBytes   float64 `json:"log_bytes"`             // bytes of calls to the log service a second, both ways
	ListBytes  float64 `json:"list_bytes"`            // bytes of calls to the instance list a second, both ways
	Overhead   float64 `json:"overhead"`              // bytes of packets for each control message beyond the message; not under load
	Packets    float64 `json:"packets"`               // a second, both ways
	InEffect   float64 `json:"in_effect_s,omitempty"` // seconds until all processes have the changed bundle
}

// processReading holds the resource usage and the variables of one process at one time.
type processReading struct {
	at             time.Time
	cpu            time.Duration // processor time used so far
	rss, anonymous float64       // bytes
	vars           processVars
}

// processVars holds the expvar variables of a process that are measured.
type processVars struct {
	BundleVersion uint64             `json:"bundle_version"`
	Sessions      float64            `json:"sessions"`
	Control       map[string]float64 `json:"peer_control"`
	Attempts      map[string]float64 `json:"peer_attempts"`
	Connections   map[string]float64 `json:"peer_connections"`
	Platform      map[string]float64 `json:"platform_calls"`
}

// run publishes a bundle and measures the deployment idle, under load, idle again and
// while the bundle changes.
func (c *measureCommand) run(ctx context.Context) error {
	m := &measurement{cmd: c, pids: map[string]int{}}
	if err := m.readDeployment(); err != nil {
		return err
	}
	log, err := platformclient.NewLogClient(m.Log)
	if err != nil {
		return err
	}
	base, err := publish(ctx, log, newBundle(1, "", m.Customers, m.Services, m.Targets))
	if err != nil {
		return err
	}
	if err := m.waitReady(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	if err := m.measureWindow(phaseIdle, 0, windowTime, nil); err != nil {
		return err
	}
	for _, n := range c.Streams {
		if err := m.measureUnderLoad(ctx, n); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	if err := m.measureWindow(phaseRest, 0, windowTime, nil); err != nil {
		return err
	}
	change := newBundle(2, base, m.Customers, m.Services, m.Targets)
	publishChange := func() (float64, error) {
		return m.timeBundleChange(ctx, func() error { _, err := publish(ctx, log, change); return err })
	}
	if err := m.measureWindow(phaseChange, 0, changeWindowTime, publishChange); err != nil {
		return err
	}
	return m.appendSamples()
}

// measurement is the state of the subcommand "measure".
type measurement struct {
	deployment
	cmd     *measureCommand
	pids    map[string]int
	samples []sample
}

// readDeployment reads the files deployment.json and pids.
func (m *measurement) readDeployment() error {
	b, err := os.ReadFile(filepath.Join(m.cmd.Dir, "deployment.json"))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, &m.deployment); err != nil {
		return err
	}
	lines, err := os.ReadFile(filepath.Join(m.cmd.Dir, "pids"))
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(lines)) {
		var name string
		var pid int
		if _, err := fmt.Sscan(line, &name, &pid); err != nil {
			return fmt.Errorf("file pids: %q: %w", line, err)
		}
		m.pids[name] = pid
	}
	return nil
}

// waitReady waits until every process is ready and every entry has a session to
// each target.
func (m *measurement) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, p := range m.Processes {
		for {
			_, err := vars.Get("http://"+p.Admin+"/readyz", callTimeout)
			if err == nil && p.Role == state.EntryRole {
				var r processReading
				if r, err = m.read(p); err == nil && int(r.vars.Sessions) < m.Targets {
					err = fmt.Errorf("%g of %d sessions", r.vars.Sessions, m.Targets)
				}
			}
			if err == nil {
				break
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%s is not ready: %w", p.Name, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// timeBundleChange calls f, which publishes version 2 of the bundle, and returns the
// seconds until it is in effect at every process.
func (m *measurement) timeBundleChange(ctx context.Context, f func() error) (float64, error) {
	began := time.Now()
	if err := f(); err != nil {
		return 0, err
	}
	for {
		behind := false
		for _, p := range m.Processes {
			r, err := m.read(p)
			if err != nil {
				return 0, err
			}
			behind = behind || r.vars.BundleVersion < 2
		}
		if !behind {
			return time.Since(began).Seconds(), nil
		}
		if time.Since(began) > readyTimeout || ctx.Err() != nil {
			return 0, errors.New("version 2 of the bundle is not in effect at all processes")
		}
	}
}

// measureWindow measures all processes for d and appends a sample for each role. If f
// is not nil, it is called at the start of d, and its result becomes the sample's
// InEffect.
func (m *measurement) measureWindow(phase string, streams int, d time.Duration, f func() (float64, error)) error {
	before, err := m.readAll()
	if err != nil {
		return err
	}
	began := time.Now()
	var inEffect float64
	if f != nil {
		if inEffect, err = f(); err != nil {
			return err
		}
	}
	time.Sleep(d - time.Since(began))
	after, err := m.readAll()
	if err != nil {
		return err
	}
	for _, role := range []state.Role{state.EntryRole, state.SideRole} {
		s := m.meanSample(role, phase, before, after)
		s.Streams, s.InEffect = streams, inEffect
		m.samples = append(m.samples, s)
	}
	return nil
}

// measureUnderLoad measures while n requests are kept in flight, and fails if one of
// them failed.
func (m *measurement) measureUnderLoad(ctx context.Context, n int) error {
	generator := newLoadGenerator(m, n)
	generator.start(ctx)
	time.Sleep(warmUpTime)
	completed := generator.completed.Load()
	err := m.measureWindow(phaseLoad, n, windowTime, nil)
	rate := float64(generator.completed.Load()-completed) / windowTime.Seconds()
	failed := generator.failed.Load()
	generator.stopping.Store(true)
	generator.group.Wait()
	if err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d requests failed, for example: %v", failed, generator.exampleError.Load())
	}
	for i := range m.samples[len(m.samples)-2:] {
		m.samples[len(m.samples)-2+i].Requests = rate
	}
	return nil
}

func (m *measurement) readAll() (map[string]processReading, error) {
	out := make(map[string]processReading)
	var mu sync.Mutex
	var errs []error
	var group sync.WaitGroup
	for _, p := range m.Processes {
		group.Go(func() {
			r, err := m.read(p)
			mu.Lock()
			defer mu.Unlock()
			out[p.Name] = r
			errs = append(errs, err)
		})
	}
	group.Wait()
	return out, errors.Join(errs...)
}

func (m *measurement) read(p process) (processReading, error) {
	r := processReading{at: time.Now()}
	var err error
	if r.cpu, err = cpuTime(m.pids[p.Name]); err != nil {
		return r, err
	}
	if r.rss, r.anonymous, err = residentMemory(m.pids[p.Name]); err != nil {
		return r, err
	}
	body, err := vars.Get("http://"+p.Admin+"/debug/vars", callTimeout)
	if err != nil {
		return r, fmt.Errorf("read %s: %w", p.Name, err)
	}
	return r, json.Unmarshal(body, &r.vars)
}

// meanSample returns the means over the processes of a role: rates for what grows, and
// the values after the window for the rest.
func (m *measurement) meanSample(role state.Role, phase string, before, after map[string]processReading) sample {
	s := sample{Targets: m.Targets, Entries: m.Entries, Role: role, Phase: phase}
	n := 0.0
	for _, p := range m.Processes {
		if p.Role == role {
			n++
		}
	}
	for _, p := range m.Processes {
		if p.Role != role {
			continue
		}
		a, b := before[p.Name], after[p.Name]
		seconds := b.at.Sub(a.at).Seconds()
		grown := func(x, y map[string]float64, key string) float64 { return (y[key] - x[key]) / seconds / n }
		connection := func(key string) float64 { return grown(a.vars.Connections, b.vars.Connections, key) }
		attempt := func(key string) float64 { return grown(a.vars.Attempts, b.vars.Attempts, key) }
		control := func(key string) float64 { return grown(a.vars.Control, b.vars.Control, key) }
		called := func(key string) float64 { return grown(a.vars.Platform, b.vars.Platform, key) }
		s.Sessions += b.vars.Connections["open"] / n
		s.RSS += b.rss / n
		s.Anonymous += b.anonymous / n
		s.CPU += (b.cpu - a.cpu).Seconds() / seconds / n
		s.ControlOut += control("bytes_sent")
		s.ControlIn += control("bytes_received")
		s.Control += control("messages_sent") + control("messages_received")
		s.Attempts += attempt("bytes_sent") + attempt("bytes_received")
		s.LogBytes += called("log/bytes_sent") + called("log/bytes_received")
		s.ListBytes += called("instances/bytes_sent") + called("instances/bytes_received")
		s.Packets += connection("packets_sent") + connection("packets_received")
		sent, received := connection("bytes_sent"), connection("bytes_received")
		if phase == phaseLoad {
			// Under load packets carry payload too, so only messages count as control.
			sent, received = control("bytes_sent"), control("bytes_received")
		}
		s.Sent += sent + called("log/bytes_sent") + called("instances/bytes_sent")
		s.Received += received + called("log/bytes_received") + called("instances/bytes_received")
	}
	if s.Phase != phaseLoad && s.Control > 0 {
		messages := s.ControlIn + s.ControlOut
		s.Overhead = (s.Sent + s.Received - s.LogBytes - s.ListBytes - messages) / s.Control
	}
	return s
}

// appendSamples appends the samples to the file, one JSON document a line.
func (m *measurement) appendSamples() error {
	f, err := os.OpenFile(m.cmd.Samples, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	enc := json.NewEncoder(f)
	for _, s := range m.samples {
		if err := enc.Encode(s); err != nil {
			return err
		}
	}
	return f.Close()
}

// clockTick is the unit of times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// cpuTime returns the sum of the user and system time of a process.
func cpuTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The name in parentheses may contain spaces; utime and stime are the 12th
	// and 13th field after it.
	fields := bytes.Fields(b[bytes.LastIndexByte(b, ')')+1:])
	user, err1 := strconv.Atoi(string(fields[11]))
	system, err2 := strconv.Atoi(string(fields[12]))
	return time.Duration(user+system) * clockTick, errors.Join(err1, err2)
}

// residentMemory returns VmRSS and RssAnon of a process in bytes.
func residentMemory(pid int) (rss, anonymous float64, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(b)) {
		var kilobytes float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f", &kilobytes); err == nil {
			rss = kilobytes * 1024
		}
		if _, err := fmt.Sscanf(line, "RssAnon: %f", &kilobytes); err == nil {
			anonymous = kilobytes * 1024
		}
	}
	return rss, anonymous, nil
}

// readStream reads a response of server-sent events and returns an error unless it is
// complete.
func readStream(resp *http.Response) error {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
		return fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	events := eventstream.NewReader(resp.Body, maxEventBytes, nil)
	complete := false
	for {
		event, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && complete:
			return nil
		case err != nil:
			return fmt.Errorf("stream ended, with [DONE]: %t: %w", complete, err)
		}
		data, _ := event.Data()
		complete = complete || string(data) == "[DONE]"
	}
}

// ownCPUTime returns the processor time that this process has used.
func ownCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
