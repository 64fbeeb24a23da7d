package table

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"github.com/gravitational/trace"

	"citronslip/internal/platform"
)

type (
	// Client calls the table service over HTTP.
	Client struct {
		Platform platform.Client
	}

	// CommitRequest is the request body of a commit.
	CommitRequest struct {
		Ops []Op `json:"ops"`
	}

	// RowsResponse is the response body of a commit or scan.
	RowsResponse struct {
		Rows []Row `json:"rows"`
	}
)

// Commit implements Table. Only a status 503 or an error before the request was sent proves that nothing was written
// and gives ErrUnavailable; every other failure except a conflict gives ErrUnknown.
func (c *Client) Commit(ctx context.Context, ops []Op) ([]Row, error) {
	var response RowsResponse
	err := c.Platform.Call(ctx, http.MethodPost, "/table/commit", CommitRequest{Ops: ops}, &response)
	switch {
	case err == nil:
		return response.Rows, nil
	case platform.StatusCode(err) == http.StatusConflict:
		return nil, trace.Wrap(ErrConflict)
	case platform.StatusCode(err) == http.StatusServiceUnavailable, errors.Is(err, platform.ErrNotSent):
		return nil, trace.Wrap(ErrUnavailable, "%v", err)
	default:
		// Any other status may come from an intermediary, although the table applied the commit.
		return nil, trace.Wrap(ErrUnknown, "%v", err)
	}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	query := url.Values{"key": {key}}
	err := c.Platform.Call(ctx, http.MethodGet, "/table/row?"+query.Encode(), nil, &row)
	switch {
	case err == nil:
		return row, nil
	case platform.StatusCode(err) == http.StatusNotFound:
		return Row{}, trace.Wrap(ErrNotFound)
	default:
		return Row{}, trace.Wrap(ErrUnavailable, "%v", err)
	}
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var response RowsResponse
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	if err := c.Platform.Call(ctx, http.MethodGet, "/table/scan?"+query.Encode(), nil, &response); err != nil {
		return nil, trace.Wrap(ErrUnavailable, "%v", err)
	}
	return response.Rows, nil
}
