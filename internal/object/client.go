package object

import (
	"context"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"citronslip/internal/platform"
)

type (
	// Client calls the object store over HTTP.
	Client struct {
		Platform platform.Client
	}
)

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	if _, err := c.Platform.Do(ctx, http.MethodPut, "/object/"+url.PathEscape(key), value); err != nil {
		return trace.Wrap(ErrUnavailable, "%v", err)
	}
	return nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	data, err := c.Platform.Do(ctx, http.MethodGet, "/object/"+url.PathEscape(key), nil)
	switch {
	case err == nil:
		return data, nil
	case platform.StatusCode(err) == http.StatusNotFound:
		return nil, trace.Wrap(ErrNotFound)
	default:
		return nil, trace.Wrap(ErrUnavailable, "%v", err)
	}
}
