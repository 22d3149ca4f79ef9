package platformclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cassiaramp/cassiaramp/internal/coordination/member"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// InstanceListClient is a client of the instance list. It implements member.InstanceList.
type InstanceListClient struct{ endpoint *endpoint }

var _ member.InstanceList = (*InstanceListClient)(nil)

// NewInstanceListClient returns a client of the instance list at the URL base.
func NewInstanceListClient(base string) (*InstanceListClient, error) {
	e, err := newEndpoint("instances", base)
	if err != nil {
		return nil, err
	}
	return &InstanceListClient{endpoint: e}, nil
}

// Instances implements member.InstanceList.
func (i *InstanceListClient) Instances(ctx context.Context, etag string) (members []state.Member, newETag string, unchanged bool, err error) {
	var header [][2]string
	if etag != "" {
		header = append(header, [2]string{"If-None-Match", etag})
	}
	resp, err := i.endpoint.call(ctx, CallTimeout, http.MethodGet, "/instances", header, nil)
	if err != nil {
		return nil, "", false, err
	}
	switch resp.status {
	case http.StatusNotModified:
		return nil, etag, true, nil
	case http.StatusOK:
	default:
		return nil, "", false, fmt.Errorf("read instance list: %w", newStatusError(resp))
	}
	var list struct {
		Instances *[]state.Member `json:"instances"`
	}
	if err := json.Unmarshal(resp.body, &list); err != nil {
		return nil, "", false, fmt.Errorf("decode instance list: %w", err)
	}
	if list.Instances == nil {
		return nil, "", false, fmt.Errorf("decode instance list: field instances is missing")
	}
	return *list.Instances, resp.etag, false, nil
}
