package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ProcessConfig describes a target that is a process of its own.
type ProcessConfig struct {
	ID, Service, Software string
	Address               string // any port, if it cannot be had
	Slots                 int
	EventsPerStream       int
	Profile               Profile
	FirstRun              int           // its runs are numbered from here on
	Linger                time.Duration // before the exit in the forms of an end that linger
}

// What a target that is a process of its own does at SIGTERM.
const (
	EndExit   = "exit"   // exits at once
	EndCancel = "cancel" // cancels its handlers, whose responses its server then ends, and exits
	EndFinish = "finish" // accepts no connection, finishes its requests and exits
	// EndFinishCancel finishes requests for finishTime, then cancels the others.
	EndFinishCancel = "finish-cancel"
	// EndCancelLinger cancels the handlers and goes on accepting for ProcessConfig.Linger, but
	// refuses requests as not run. EndCancelLingerEmpty answers them with an empty success.
	EndCancelLinger      = "cancel-linger"
	EndCancelLingerEmpty = "cancel-linger-empty"
)

const finishTime = 700 * time.Millisecond

// Commands to a target that is a process of its own, one a line. CommandEnd is followed by what
// the target does at SIGTERM.
const (
	CommandDraining = "draining"
	CommandEnd      = "end "
)

// ServeProcess serves a target with net/http as the work of this process, and exits after SIGTERM
// or when no more commands can come. It writes its address and then the changes of its ledger to out.
func ServeProcess(config ProcessConfig, commands io.Reader, out io.Writer) error {
	encoder := json.NewEncoder(out)
	ledger := NewLedger()
	ledger.out, ledger.firstRun = encoder, config.FirstRun
	t := &Target{ID: config.ID, Service: config.Service, Software: config.Software, Slots: config.Slots, EventsPerStream: config.EventsPerStream, Ledger: ledger, Profile: &config.Profile, process: true}
	ln, err := net.Listen("tcp4", config.Address)
	if err != nil {
		if ln, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
			return err
		}
	}
	if err := encoder.Encode(ln.Addr().String()); err != nil {
		return err
	}
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	endings := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(commands)
		for lines.Scan() {
			if ending, ok := strings.CutPrefix(lines.Text(), CommandEnd); ok {
				endings <- ending
			} else {
				t.Leaving.Store(true)
			}
		}
		os.Exit(1)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	server := t.NewServer()
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	go server.Serve(ln)
	<-terminated
	t.end(<-endings, server, cancel, config.Linger)
	return nil
}

// end ends the work of the process.
func (t *Target) end(ending string, server *http.Server, cancel func(), linger time.Duration) {
	switch ending {
	case EndExit:
		os.Exit(0)
	case EndFinish, EndFinishCancel:
		ctx := context.Background()
		if ending == EndFinishCancel {
			var stop func()
			ctx, stop = context.WithTimeout(ctx, finishTime)
			defer stop()
		}
		if server.Shutdown(ctx) == nil {
			return
		}
	case EndCancelLinger:
		t.lingers.Store(new(http.HandlerFunc(t.refuse)))
	case EndCancelLingerEmpty:
		t.lingers.Store(new(http.HandlerFunc(t.answerEmpty)))
	}
	t.Closing.Store(true)
	cancel()
	if t.lingers.Load() != nil {
		time.Sleep(linger)
	}
	server.Shutdown(context.Background())
}

// refuse states that a request does not run, or that the target is not healthy.
func (t *Target) refuse(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", t.ID)
	if !isHealthCheck(r) {
		t.Ledger.reject(id, t, "ending")
		w.Header().Set("Not-Executed", "1")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// answerEmpty answers a request with an empty success, as a server does whose handlers return at
// once. The answer does not state that the request has not run, so it counts as a run.
func (t *Target) answerEmpty(w http.ResponseWriter, r *http.Request) {
	if isHealthCheck(r) {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "signed by "+t.ID)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if absent
	t.Ledger.end(id, t.Ledger.begin(id, t, after), RunBrokenOff)
}

// ledgerChange is a run as it is after a change.
type ledgerChange struct {
	ID  string
	Run *Run
}

// write tells the ledger of another process of a change, if there is one. An error means that
// that process has ended, and so does this one then.
func (l *Ledger) write(id string, run *Run) {
	if l.out != nil {
		l.out.Encode(ledgerChange{id, run})
	}
}

// Follow takes over the changes of the ledger of another process until that process has ended,
// which breaks off its runs.
func (l *Ledger) Follow(changes *json.Decoder) {
	type key struct {
		id     string
		number int
	}
	open := make(map[key]*Run)
	for {
		var c ledgerChange
		err := changes.Decode(&c)
		l.mu.Lock()
		if err != nil {
			for _, run := range open {
				run.To, run.Outcome = time.Now(), RunBrokenOff
			}
			l.mu.Unlock()
			return
		}
		k := key{c.ID, c.Run.Number}
		if known := open[k]; known != nil {
			*known = *c.Run
		} else {
			l.details[c.ID] = append(l.details[c.ID], c.Run)
			open[k] = c.Run
		}
		if !c.Run.To.IsZero() {
			delete(open, k)
		}
		l.mu.Unlock()
	}
}
