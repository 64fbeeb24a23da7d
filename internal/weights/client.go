package weights

import (
	"context"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"citronslip/internal/platform"
)

type (
	// Client is a Store that calls the platform's weight store over HTTP.
	Client struct {
		Platform platform.Client
	}
)

// Lookup returns the size of a version. Its error wraps ErrLimited or ErrUnavailable.
func (c *Client) Lookup(ctx context.Context, name, version string) (Weights, error) {
	var weights Weights
	path := "/weights/" + url.PathEscape(name) + "/" + url.PathEscape(version)
	err := c.Platform.Call(ctx, http.MethodGet, path, nil, &weights)
	switch {
	case err == nil:
		return weights, nil
	case platform.StatusCode(err) == http.StatusTooManyRequests:
		return Weights{}, trace.Wrap(ErrLimited)
	default:
		return Weights{}, trace.Wrap(ErrUnavailable, "%v", err)
	}
}
