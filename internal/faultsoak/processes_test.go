package faultsoak

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

// processVariable holds the configuration of a target in the environment of its process.
const processVariable = "FAULTSOAK_TARGET"

// TestMain runs the tests, or a target in a process that the tests have started for it.
func TestMain(m *testing.M) {
	text := os.Getenv(processVariable)
	if text == "" {
		os.Exit(m.Run())
	}
	var config emulator.ProcessConfig
	err := json.Unmarshal([]byte(text), &config)
	if err == nil {
		err = emulator.ServeProcess(config, os.Stdin, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// targetProcess is the process of a target.
type targetProcess struct {
	*exec.Cmd
	commands io.Writer
	exited   chan struct{}
}

// startProcessAgain serves a target in a process of its own at the address of one that has ended, if it
// can be had, and behind its relay, if it had one.
func (d *deploymentRun) startProcessAgain(e, before *engine) {
	if e.relay = before.relay; e.relay != nil {
		e.relayAddress = before.relayAddress
		d.startProcess(e, "127.0.0.1:0")
		return
	}
	d.startProcess(e, before.proxyAddress)
}

// relayProcess puts a relay before the process of a target.
func (w *world) relayProcess(e *engine) {
	if e.relay == nil {
		e.relay = &emulator.Relay{}
		e.relayAddress = w.serveOn("127.0.0.1:0", e.relay.Serve)
	}
	e.relay.SetTarget(e.proxyAddress)
	e.proxyAddress = e.relayAddress
}

// startProcess serves a target in a process of its own, at the address if it can be had.
func (d *deploymentRun) startProcess(e *engine, address string) {
	w := d.world
	profile := *e.Profile
	// Entries meet what net/http does by itself: nothing is written or closed behind its back.
	profile.LateShare, profile.StrayShare, profile.AbruptShare, profile.SpoiledShare = 0, 0, 0, 0
	profile.RunsOn, profile.EndsProperly, profile.UnframedShare = false, true, *unframedFlag
	text, err := json.Marshal(emulator.ProcessConfig{
		ID: e.ID, Service: e.Service, Software: e.Software, Address: address, Slots: e.Slots, EventsPerStream: e.EventsPerStream, Profile: profile, FirstRun: int(d.processes.Add(1)) * 1000,
		Linger: *lingerFlag,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	cmd := exec.CommandContext(w.t.Context(), os.Args[0])
	cmd.Env, cmd.Stderr = append(os.Environ(), processVariable+"="+string(text)), os.Stderr
	p := &targetProcess{Cmd: cmd, exited: make(chan struct{})}
	out, err := cmd.StdoutPipe()
	if err == nil {
		p.commands, err = cmd.StdinPipe()
	}
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		w.t.Error(err)
		e.removed = true
		return
	}
	changes := json.NewDecoder(out)
	if err := changes.Decode(&e.proxyAddress); err != nil {
		w.t.Errorf("process of %s: %v", e.ID, err)
	}
	if d.fleet.relays {
		w.relayProcess(e)
	}
	e.process = p
	go func() {
		w.ledger.Follow(changes)
		cmd.Wait() // the error may say that it was killed
		close(p.exited)
	}()
}

// command sends a command to the process. An error means that it has ended.
func (p *targetProcess) command(text string) { io.WriteString(p.commands, text+"\n") }
