package platformclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/order"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// OrderClient sends orders to one target. It implements order.Sender.
type OrderClient struct{ endpoint *endpoint }

var _ order.Sender = (*OrderClient)(nil)

// NewOrderClient returns a client of the target at the URL base.
func NewOrderClient(base string) (*OrderClient, error) {
	e, err := newEndpoint("orders", base)
	if err != nil {
		return nil, err
	}
	return &OrderClient{endpoint: e}, nil
}

type orderBody struct {
	Fence    uint64      `json:"fence"`
	Load     []modelBody `json:"load"`
	Unload   []modelBody `json:"unload"`
	Adapters []string    `json:"adapters"`
	Role     string      `json:"role,omitempty"`
}

type modelBody struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// defaultRetryAfter is the wait after a response with status 429 whose Retry-After
// header is missing or cannot be parsed.
const defaultRetryAfter = 5 * time.Second

// SendOrder implements order.Sender.
func (o *OrderClient) SendOrder(ctx context.Context, ord order.Order) error {
	b := orderBody{Fence: ord.FencingToken, Load: modelBodies(ord.Load), Unload: modelBodies(ord.Unload),
		Adapters: append([]string{}, ord.Adapters...), Role: ord.Role}
	body, err := json.Marshal(b)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	resp, err := o.endpoint.call(ctx, order.RequestTimeout, http.MethodPost, "/orders", nil, body)
	if err != nil {
		return fmt.Errorf("%w: %w", order.ErrUnreachable, err)
	}
	switch resp.status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return fmt.Errorf("%w: %w", order.ErrStaleFencingToken, newStatusError(resp))
	case http.StatusTooManyRequests:
		return &order.RateLimitedError{After: parseRetryAfter(resp.retryAfter, time.Now())}
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return fmt.Errorf("%w: %w", order.ErrUnreachable, newStatusError(resp))
	default:
		return errors.Join(errors.New("target refused the order"), newStatusError(resp))
	}
}

// modelBodies returns the wire form of specs, which is an empty array rather than null if
// there are none.
func modelBodies(specs []state.ModelSpec) []modelBody {
	list := make([]modelBody, len(specs))
	for i, m := range specs {
		list[i] = modelBody(m)
	}
	return list
}

// parseRetryAfter parses a Retry-After header, which holds seconds or an HTTP date. It
// returns defaultRetryAfter for anything else.
func parseRetryAfter(text string, now time.Time) time.Duration {
	if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
		return time.Duration(seconds) * time.Second
	}
	if at, err := http.ParseTime(text); err == nil {
		return max(0, at.Sub(now))
	}
	return defaultRetryAfter
}
