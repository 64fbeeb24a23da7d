package hosts

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/gravitational/trace"

	"citronslip/internal/platform"
)

const (
	// maxDepth is the maximum depth of nested values in the list that are decoded. That of an entry is 3.
	maxDepth = 32
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

// Hosts returns the list. Entries that cannot be decoded, or that name no host, are left out: they must not hide the
// others. The error wraps ErrUnavailable.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	data, err := c.Platform.Do(ctx, http.MethodGet, "/hosts", nil)
	if err != nil {
		return nil, trace.Wrap(ErrUnavailable, "%v", err)
	}
	var response struct {
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(limitDepth(data), &response); err != nil {
		return nil, trace.Wrap(ErrUnavailable, "malformed answer: %v", err)
	}
	list := make([]Host, 0, len(response.Hosts))
	for _, entry := range response.Hosts {
		var host Host
		if json.Unmarshal(entry, &host) == nil && host.valid() {
			list = append(list, host)
		}
	}
	return list, nil
}

// valid reports whether the entry names a host.
func (h *Host) valid() bool {
	address, err := netip.ParseAddrPort(h.Address)
	return err == nil && address.Port() != 0 && (h.State == StateLive || h.State == StateLeaving)
}

// limitDepth replaces the values of a JSON text that are nested more deeply than maxDepth by null. The decoder rejects a
// text with deeply nested values as a whole.
func limitDepth(data []byte) []byte {
	result := make([]byte, 0, len(data))
	depth := 0
	inString, escaped := false, false
	for _, b := range data {
		switch {
		case escaped:
			escaped = false
		case inString:
			inString, escaped = b != '"', b == '\\'
		case b == '"':
			inString = true
		case b == '[' || b == '{':
			if depth++; depth == maxDepth+1 {
				result = append(result, "null"...)
			}
		case b == ']' || b == '}':
			if depth--; depth == maxDepth {
				continue
			}
		}
		if depth <= maxDepth {
			result = append(result, b)
		}
	}
	return result
}
