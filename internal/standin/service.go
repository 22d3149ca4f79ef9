package standin

import (
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// LoadIDHeader identifies a call of the load generator to a plain service.
const LoadIDHeader = "X-Load-Id"

// PlainResponse is the body of every response of a plain service.
type PlainResponse struct {
	Target string `json:"target"`
	Method string `json:"method"`
	Path   string `json:"path"` // with the query
	LoadID string `json:"load_id,omitempty"`
	Call   uint64 `json:"call"`  // counts the calls to this target from 1
	Bytes  int    `json:"bytes"` // length of the request body
}

// plainService is one target of a plain service.
type plainService struct {
	name   string
	calls  atomic.Uint64
	ledger *ledger
	srv    *server
	config ServiceConfig
}

func newPlainService(c ServiceConfig, srv *server) *plainService {
	s := &plainService{name: c.Name, ledger: newLedger(c.Name, "plain"), srv: srv, config: c}
	srv.lagIsDelay = true
	srv.allEffects = true
	srv.handler = s.handle
	return s
}

func (s *plainService) handle(ctx *fasthttp.RequestCtx) {
	load := string(ctx.Request.Header.Peek(LoadIDHeader))
	s.ledger.run(string(ctx.Request.Header.Peek(RequestIDHeader)))
	s.ledger.count(load, Counts{Started: 1})
	s.srv.pause(s.srv.faults.scaled(s.config.Latency.Std()))
	reply(ctx, fasthttp.StatusOK, PlainResponse{
		Target: s.name,
		Method: string(ctx.Method()),
		Path:   string(ctx.RequestURI()),
		LoadID: load,
		Call:   s.calls.Add(1),
		Bytes:  len(ctx.PostBody()),
	})
	s.ledger.count(load, Counts{Finished: 1})
}
