package hosts

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"

	"citronslip/internal/platform"
)

type (
	// Client reads the host list over HTTP.
	Client struct {
		Platform platform.Client
	}

	// ListResponse is the body of the platform's response.
	ListResponse struct {
		Hosts []Host `json:"hosts"`
	}
)

// Hosts returns the list. The error wraps ErrUnavailable.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var response ListResponse
	if err := c.Platform.Call(ctx, http.MethodGet, "/hosts", nil, &response); err != nil {
		return nil, trace.Wrap(ErrUnavailable, "%v", err)
	}
	return response.Hosts, nil
}
