package standin

import (
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// LoadIDHeader carries the id that the load generator gives to a call to a plain
// service. The ledger counts such calls by it.
const LoadIDHeader = "X-Load-Id"

// PlainResponse is the body of every response of a plain service.
type PlainResponse struct {
	Target string `json:"target"`
	Method string `json:"method"`
	Path   string `json:"path"` // including the query
	LoadID string `json:"load_id,omitempty"`
	Call   uint64 `json:"call"`  // number of this call at the target, from 1
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
	srv.lagDelaysCalls = true
	srv.allMethodsHaveEffect = true
	srv.handler = s.handle
	return s
}

func (s *plainService) handle(ctx *fasthttp.RequestCtx) {
	loadID := string(ctx.Request.Header.Peek(LoadIDHeader))
	s.ledger.countRun(string(ctx.Request.Header.Peek(RequestIDHeader)))
	s.ledger.addCounts(loadID, Counts{Started: 1})
	s.srv.sleep(s.srv.faults.scaled(s.config.Latency.Std()))
	replyJSON(ctx, fasthttp.StatusOK, PlainResponse{
		Target: s.name,
		Method: string(ctx.Method()),
		Path:   string(ctx.RequestURI()),
		LoadID: loadID,
		Call:   s.calls.Add(1),
		Bytes:  len(ctx.PostBody()),
	})
	s.ledger.addCounts(loadID, Counts{Finished: 1})
}
