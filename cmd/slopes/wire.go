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
	"github.com/cassiaramp/cassiaramp/internal/transport/platformclient"
	"github.com/cassiaramp/cassiaramp/internal/transport/quicsession"
)

// expvarMap returns the values of an expvar map.
func expvarMap(name string) map[string]float64 {
	out := make(map[string]float64)
	// All values are numbers, so decoding cannot fail.
	_ = json.Unmarshal([]byte(expvar.Get(name).String()), &out)
	return out
}

// logTrafficBytes returns the bytes sent and received in calls to the log so far.
func logTrafficBytes() float64 {
	c := expvarMap("platform_calls")
	return c["log/bytes_sent"] + c["log/bytes_received"]
}

// measureLogTraffic measures the bytes sent and received to append a record of claims
// to the log and to read it in a poll.
func (t *table) measureLogTraffic(ctx context.Context) error {
	s, err := standin.Start(&standin.Config{Log: &standin.LogConfig{Address: "127.0.0.1:0", AppendsPerSecond: standinAppendsPerSecond}})
	if err != nil {
		return err
	}
	defer s.Close()
	log, err := platformclient.NewLogClient(s.URL(standin.LogName))
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
		var appendBytes, readBytes float64
		for range records {
			readDone := make(chan error, 1)
			before := logTrafficBytes()
			off, err := log.Append(ctx, claim.StreamName(0), logstream.Entry{ID: logstream.NewID(), Data: data})
			if err != nil {
				return err
			}
			appendBytes += logTrafficBytes() - before
			before = logTrafficBytes()
			go func() {
				_, err := log.Read(ctx, claim.StreamName(0), next, logstream.PageLimit, logstream.PollWait)
				readDone <- err
			}()
			if err := <-readDone; err != nil {
				return err
			}
			readBytes += logTrafficBytes() - before
			next = off + 1
		}
		t.row(fmt.Sprintf("log: append of a record of %d claims, both ways", batch), appendBytes/records, "bytes")
		t.row(fmt.Sprintf("log: poll that returns a record of %d claims, both ways", batch), readBytes/records, "bytes")
	}
	before := logTrafficBytes()
	if _, err := log.Read(ctx, claim.StreamName(0), next, logstream.PageLimit, time.Millisecond); err != nil {
		return err
	}
	t.row("log: poll without a record, both ways", logTrafficBytes()-before, "bytes")
	return nil
}

// Implementations of the interfaces of package quicsession for sessions on which no
// attempt is dispatched.
type (
	idleHandler  struct{}
	idleSession  struct{}
	fixedBundles struct{}
	noopObserver struct{}
)

func (idleHandler) OpenSession(state.InstanceID, state.Incarnation, uint64) (quicsession.Session, error) {
	return idleSession{}, nil
}
func (idleHandler) Identity() (state.InstanceID, state.Incarnation, state.TargetID, state.Service) {
	return "side", 1, "engine", serviceName(0)
}
func (idleSession) Dispatch(*state.Dispatch) quicsession.Attempt     { return nil }
func (idleSession) Attach(*state.Attach) quicsession.Attempt         { return nil }
func (idleSession) Void(*state.Void) state.AttemptState              { return state.AttemptState{} }
func (idleSession) Status() state.Status                             { return state.Status{Figures: figures()} }
func (idleSession) Urgent() <-chan struct{}                          { return nil }
func (idleSession) Fenced() <-chan struct{}                          { return nil }
func (idleSession) Close()                                           {}
func (fixedBundles) Accepted() uint64                                { return 1 }
func (fixedBundles) Bundle() state.AcceptedBundle                    { return state.AcceptedBundle{} }
func (fixedBundles) Offer(state.AcceptedBundle)                      {}
func (noopObserver) SessionOpened(state.TargetID, *protocol.Welcome) {}
func (noopObserver) StatusReceived(state.TargetID, *state.Status)    {}
func (noopObserver) TargetLeaving(state.TargetID)                    {}
func (noopObserver) SessionClosed(state.TargetID)                    {}
func (noopObserver) SessionLost(state.TargetID, error)               {}

// measureSessionSetup measures the time, processor time and bytes to open one session,
// for both ends together.
func (t *table) measureSessionSetup(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "cassiaramp-slopes-tls-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	keys := &bundlecmd.KeysTLS{Instances: []string{"entry", "side"}, Dir: dir, Validity: time.Hour}
	if err := keys.Run(ctx, io.Discard); err != nil {
		return err
	}
	load := func(name string) (*quicsession.Credentials, error) {
		return quicsession.LoadCredentials(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"), filepath.Join(dir, "authority.pem"))
	}
	entryCredentials, err1 := load("entry")
	sideCredentials, err2 := load("side")
	socket, err3 := net.ListenPacket("udp", "127.0.0.1:0")
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	defer socket.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &quicsession.Server{Credentials: sideCredentials, Handler: idleHandler{}, Bundles: fixedBundles{}, Log: zap.NewNop()}
	go server.Serve(ctx, socket)
	client := quicsession.NewClient(quicsession.ClientConfig{
		Instance: "entry", Incarnation: 1, LocalIP: net.IPv4(127, 0, 0, 1), Credentials: entryCredentials,
		Bundles: fixedBundles{}, Observer: noopObserver{}, Log: zap.NewNop(),
	})
	defer client.Close()
	const sessions = 50
	address := quicsession.Address{Instance: "side", UDP: socket.LocalAddr().String()}
	cpu, bytes, began := ownCPUTime(), expvarMap("peer_connections")["bytes_sent"], time.Now()
	for range sessions {
		client.SetAddress("engine", address, true)
		if err := client.Connect(ctx, "engine"); err != nil {
			return err
		}
		client.Forget("engine")
	}
	t.row("session: time to open one", float64(time.Since(began))/sessions, "ns")
	t.row("session: processor time to open one, both ends", float64(ownCPUTime()-cpu)/sessions, "ns")
	t.row("session: bytes to open one, both ways", (expvarMap("peer_connections")["bytes_sent"]-bytes)/sessions, "bytes")
	return nil
}
