package main

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/claim"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/ctl/bundlecmd"
	"github.com/cassiaramp/cassiaramp/internal/protocol"
	"github.com/cassiaramp/cassiaramp/internal/standin"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/peer"
	"github.com/cassiaramp/cassiaramp/internal/transport/platform"
)

// counters returns the values of an expvar map.
func counters(name string) map[string]float64 {
	out := make(map[string]float64)
	// The variables are numbers, so that decoding cannot fail.
	_ = json.Unmarshal([]byte(expvar.Get(name).String()), &out)
	return out
}

// logCalls returns the bytes of calls to the log so far.
func logCalls() float64 {
	c := counters("platform_calls")
	return c["log/bytes_sent"] + c["log/bytes_received"]
}

// tailing measures the bytes that appending and tailing one claim takes.
func (t *table) tailing(ctx context.Context) error {
	s, err := standin.Start(&standin.Config{Log: &standin.LogConfig{Address: "127.0.0.1:0", AppendsPerSecond: standinAppends}})
	if err != nil {
		return err
	}
	defer s.Close()
	log, err := platform.NewLogClient(s.URL(standin.LogName))
	if err != nil {
		return err
	}
	const records = 100
	var next uint64
	for _, batch := range []int{1, 16} {
		var data []byte
		r := claimRecord{}
		for i := range batch {
			r.Claims = append(r.Claims, newClaim(i))
		}
		if data, err = cbor.Marshal(&r); err != nil {
			return err
		}
		var appended, tailed float64
		for range records {
			page := make(chan error, 1)
			before := logCalls()
			off, err := log.Append(ctx, claim.StreamName(0), logstream.Entry{ID: logstream.NewID(), Data: data})
			if err != nil {
				return err
			}
			appended += logCalls() - before
			before = logCalls()
			go func() {
				_, err := log.Read(ctx, claim.StreamName(0), next, logstream.PageLimit, logstream.PollWait)
				page <- err
			}()
			if err := <-page; err != nil {
				return err
			}
			tailed += logCalls() - before
			next = off + 1
		}
		t.row(fmt.Sprintf("log: append of a record of %d claims, both ways", batch), appended/records, "bytes")
		t.row(fmt.Sprintf("log: poll that returns a record of %d claims, both ways", batch), tailed/records, "bytes")
	}
	before := logCalls()
	if _, err := log.Read(ctx, claim.StreamName(0), next, logstream.PageLimit, time.Millisecond); err != nil {
		return err
	}
	t.row("log: poll without a record, both ways", logCalls()-before, "bytes")
	return nil
}

// Nothing happens on the sessions that are measured.
type (
	quietSide     struct{}
	quietSession  struct{}
	quietBundles  struct{}
	quietObserver struct{}
)

func (quietSide) OpenSession(state.InstanceID, state.Incarnation, uint64) (peer.Session, error) {
	return quietSession{}, nil
}
func (quietSide) Identity() (state.InstanceID, state.Incarnation, state.TargetID, state.Service) {
	return "side", 1, "engine", serviceOf(0)
}
func (quietSession) Dispatch(*state.Dispatch) peer.Attempt            { return nil }
func (quietSession) Attach(*state.Attach) peer.Attempt                { return nil }
func (quietSession) Void(*state.Void) state.AttemptState              { return state.AttemptState{} }
func (quietSession) Status() state.Status                             { return state.Status{Figures: figures()} }
func (quietSession) Urgent() <-chan struct{}                          { return nil }
func (quietSession) Fenced() <-chan struct{}                          { return nil }
func (quietSession) Close()                                           {}
func (quietBundles) Accepted() uint64                                 { return 1 }
func (quietBundles) Bundle() state.AcceptedBundle                     { return state.AcceptedBundle{} }
func (quietBundles) Offer(state.AcceptedBundle)                       {}
func (quietObserver) SessionOpened(state.TargetID, *protocol.Welcome) {}
func (quietObserver) StatusReceived(state.TargetID, *state.Status)    {}
func (quietObserver) TargetLeaving(state.TargetID)                    {}
func (quietObserver) SessionClosed(state.TargetID)                    {}
func (quietObserver) SessionLost(state.TargetID, error)               {}

// opening measures what opening one session takes, both ends together.
func (t *table) opening(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "cassiaramp-slopes-tls-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	keys := &bundlecmd.KeysTLS{Instances: []string{"entry", "side"}, Dir: dir, Validity: time.Hour}
	if err := keys.Run(ctx, io.Discard); err != nil {
		return err
	}
	load := func(name string) (*peer.Credentials, error) {
		return peer.LoadCredentials(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"), filepath.Join(dir, "authority.pem"))
	}
	own, err1 := load("entry")
	other, err2 := load("side")
	socket, err3 := net.ListenPacket("udp", "127.0.0.1:0")
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	defer socket.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &peer.Server{Credentials: other, Handler: quietSide{}, Bundles: quietBundles{}, Log: zap.NewNop()}
	go server.Serve(ctx, socket)
	client := peer.NewClient(peer.ClientConfig{
		Instance: "entry", Incarnation: 1, LocalIP: net.IPv4(127, 0, 0, 1), Credentials: own,
		Bundles: quietBundles{}, Observer: quietObserver{}, Log: zap.NewNop(),
	})
	defer client.Close()
	const sessions = 50
	address := peer.Address{Instance: "side", UDP: socket.LocalAddr().String()}
	cpu, bytes, began := cpuOfThisProcess(), counters("peer_connections")["bytes_sent"], time.Now()
	for range sessions {
		client.SetAddress("engine", address, true)
		if err := client.Connect(ctx, "engine"); err != nil {
			return err
		}
		client.Forget("engine")
	}
	t.row("session: time to open one", float64(time.Since(began))/sessions, "ns")
	t.row("session: processor time to open one, both ends", float64(cpuOfThisProcess()-cpu)/sessions, "ns")
	t.row("session: bytes to open one, both ways", (counters("peer_connections")["bytes_sent"]-bytes)/sessions, "bytes")
	return nil
}
