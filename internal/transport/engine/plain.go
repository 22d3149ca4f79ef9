package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// plainPiece is the largest piece of a plain service's response body in one
// chunk.
const plainPiece = 32 << 10

// perConnection lists the header fields that concern one connection only (RFC
// 9110, section 7.6.1) or that the HTTP library sets by itself.
var perConnection = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true,
	"proxy-connection": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "expect": true,
}

// setByClient lists the header fields of an engine request that the client
// chooses. A compressed stream could not be parsed.
var setByClient = map[string]bool{"x-request-id": true, "content-type": true, "accept-encoding": true}

// setHeaders adds the caller's header fields except those in skip.
func setHeaders(r *fasthttp.Request, headers []state.Header, skip map[string]bool) {
	for _, h := range headers {
		switch name := strings.ToLower(h.Name); {
		case perConnection[name] || skip[name]:
		case name == "host":
			r.Header.SetHost(h.Value)
		default:
			r.Header.Add(h.Name, h.Value)
		}
	}
}

// runPlain forwards a call to a plain service.
func (c *Client) runPlain(ctx context.Context, req *state.Request, emit func(state.AttemptEvent)) error {
	k, err := c.do(ctx, c.cfg.FirstByteSilence, func(r *fasthttp.Request) {
		c.address(r, req.Method, req.Path)
		setHeaders(r, req.Headers, nil)
		r.SetBodyRaw(req.Body)
	})
	if err == nil {
		defer k.close()
		err = c.forward(k, req.Method == fasthttp.MethodHead, emit)
	}
	switch {
	case err == nil || errors.Is(err, side.ErrNotSent):
		return err
	case ctx.Err() != nil:
		return ctx.Err()
	}
	return unknown(err)
}

// forward passes on the response. A body that is shorter than its
// Content-Length ends with an error other than io.EOF.
func (c *Client) forward(k *call, head bool, emit func(state.AttemptEvent)) error {
	emit(plainHead(k, head))
	var offset uint64
	received := 0
	buffer := make([]byte, plainPiece)
	for {
		n, err := k.body().Read(buffer)
		if n > 0 {
			emit(&state.Chunk{Offset: offset, Data: bytes.Clone(buffer[:n])})
			offset++
			received += n
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("response body after %d bytes: %w", received, err)
		}
	}
}

func plainHead(k *call, head bool) *state.Head {
	h := &state.Head{Status: k.status()}
	for name, value := range k.response.Header.All() {
		lower := strings.ToLower(string(name))
		if perConnection[lower] && !(head && lower == "content-length") {
			continue
		}
		h.Headers = append(h.Headers, state.Header{Name: string(name), Value: string(value)})
	}
	return h
}
