package operator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// DefaultPollInterval is the interval at which WaitForVersion polls the routers, and the initial retry interval of
	// Apply.
	DefaultPollInterval = 250 * time.Millisecond
	// maxRetryInterval bounds the retry interval of Apply, which doubles with each retry.
	maxRetryInterval = 4 * time.Second
)

var (
	// errNotSent is returned when no connection to any router could be opened, so that nothing was sent.
	errNotSent = errors.New("operator: request not sent")
)

type (
	// Client calls the operators' interface of routers.
	Client struct {
		Addresses  []string                       // Base URLs. The next one is tried when a router cannot be reached.
		Credential string                         // Bearer credential of the operator.
		Transport  http.RoundTripper              // Nil means http.DefaultTransport.
		Pause      time.Duration                  // Poll and initial retry interval; zero means DefaultPollInterval.
		Repeated   func(change string, err error) // Called with the last error before Apply retries; may be nil.
	}

	// Progress is how many routers have activated a configuration version.
	Progress struct {
		Version int
		Live    int                 // Number of live routers.
		Behind  []wire.RouterStatus // Live routers that have not activated the version.
	}
)

// ReadCredential reads a bearer credential from a file. It returns an error if other users may access the file.
func ReadCredential(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return "", trace.BadParameter("credential file %s is accessible to other users; set its mode to 600", path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	credential := strings.TrimSpace(string(data))
	if credential == "" || strings.ContainsAny(credential, "\r\n") {
		return "", trace.BadParameter("credential file %s must contain exactly one line", path)
	}
	return credential, nil
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (*wire.FleetStatus, error) {
	var result wire.FleetStatus
	return &result, c.get(ctx, "/status", &result)
}

// Explain returns how the routers handled a request.
func (c *Client) Explain(ctx context.Context, request string) (*wire.Explanation, error) {
	var result wire.Explanation
	return &result, c.get(ctx, "/explain/"+url.PathEscape(request), &result)
}

// Burn returns the report of how fast budgets are used up.
func (c *Client) Burn(ctx context.Context) (*wire.Burn, error) {
	var result wire.Burn
	return &result, c.get(ctx, "/burn", &result)
}

// History returns up to limit configuration versions, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]wire.ConfigVersion, error) {
	var result wire.ConfigHistory
	err := c.get(ctx, "/history?limit="+strconv.Itoa(limit), &result)
	return result.Versions, err
}

// Config returns the inventory of a configuration version and its number; 0 means the newest.
func (c *Client) Config(ctx context.Context, number int) (*inventory.Inventory, int, error) {
	body, header, err := c.call(ctx, http.MethodGet, "/config?version="+strconv.Itoa(number), nil)
	if err != nil {
		return nil, 0, err
	}
	inv, err := inventory.Decode(body)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	number, err = strconv.Atoi(header.Get("Citronslip-Version"))
	return inv, number, trace.Wrap(err)
}

// Apply commits a change. While the outcome is unknown it retries with the same change identity, which has no second
// effect. If the context ends first, the error wraps ErrOutcomeUnknown. If no router can be reached at the first try,
// nothing was sent and it returns at once.
func (c *Client) Apply(ctx context.Context, change wire.Apply) (wire.ConfigVersion, error) {
	var version wire.ConfigVersion
	body, err := json.Marshal(change)
	if err != nil {
		return version, trace.Wrap(err)
	}
	maybeSent := false
	for interval := cmp.Or(c.Pause, DefaultPollInterval); ; interval = min(2*interval, maxRetryInterval) {
		answer, _, err := c.call(ctx, http.MethodPost, "/apply", body)
		if err == nil {
			return version, trace.Wrap(json.Unmarshal(answer, &version))
		}
		maybeSent = maybeSent || !errors.Is(err, errNotSent)
		if !maybeSent || !outcomeUncertain(err) {
			return version, err
		}
		if c.Repeated != nil {
			c.Repeated(change.Change, err)
		}
		if !wait(ctx, interval) {
			return version, trace.Wrap(ErrOutcomeUnknown, "outcome of change %s unknown: %v", change.Change, err)
		}
	}
}

// WaitForVersion polls the routers until all live ones have activated a configuration version. It calls report after
// every poll that succeeds. After the first poll past the timeout, or when the context ends, it returns an error and
// the last progress, which lists the routers that have not activated the version.
func (c *Client) WaitForVersion(ctx context.Context, version int, timeout time.Duration, report func(Progress)) (Progress, error) {
	var last Progress
	deadline := time.Now().Add(timeout)
	for {
		status, err := c.Status(ctx)
		if err == nil {
			last = versionProgress(status, version)
			report(last)
			if last.Live > 0 && len(last.Behind) == 0 {
				return last, nil
			}
		}
		if time.Now().After(deadline) || !wait(ctx, cmp.Or(c.Pause, DefaultPollInterval)) {
			return last, trace.LimitExceeded("not all live routers report version %d", version)
		}
	}
}

// versionProgress counts the live routers of a status and those that have not activated a version.
func versionProgress(status *wire.FleetStatus, version int) Progress {
	result := Progress{Version: version}
	for _, r := range status.Routers {
		if r.State != string(wire.MemberStateLive) {
			continue
		}
		result.Live++
		if r.Version < version {
			result.Behind = append(result.Behind, r)
		}
	}
	return result
}

// outcomeUncertain reports whether a failed change may have taken effect all the same, or may succeed in a retry.
func outcomeUncertain(err error) bool {
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		return refusal.Status == http.StatusServiceUnavailable || refusal.Status == http.StatusBadGateway ||
			refusal.Status == http.StatusGatewayTimeout
	}
	return !trace.IsBadParameter(err)
}

// wait waits for an interval. It reports false if the context ended before.
func wait(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Client) get(ctx context.Context, path string, result any) error {
	body, _, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return trace.Wrap(json.Unmarshal(body, result))
}

// call sends a request to the addresses in turn until a router answers, and returns the body and header of the answer.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, http.Header, error) {
	err := error(trace.BadParameter("no router address given"))
	maybeSent := false
	for _, address := range c.Addresses {
		var content []byte
		var header http.Header
		content, header, err = c.callAddress(ctx, method, strings.TrimSuffix(address, "/")+path, body)
		var refusal *RefusalError
		if err == nil || errors.As(err, &refusal) || ctx.Err() != nil {
			return content, header, err
		}
		maybeSent = maybeSent || !dialFailed(err)
	}
	if !maybeSent && !trace.IsBadParameter(err) {
		err = trace.Wrap(errNotSent, "%v", err)
	}
	return nil, nil, err
}

// dialFailed reports whether no connection could be opened, so that nothing was sent.
func dialFailed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// refuseRedirect stops the HTTP client from following redirects, since the credential is meant for the given address
// only.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// callAddress sends a request to one router. A response with another status than 200 gives a *RefusalError.
func (c *Client) callAddress(ctx context.Context, method, address string, body []byte) ([]byte, http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, nil, trace.BadParameter("malformed address %q: %v", address, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.Credential)
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: c.Transport, CheckRedirect: refuseRedirect}
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, trace.ConnectionProblem(err, "no answer from %s: %v", address, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, nil, trace.ConnectionProblem(err, "answer from %s ended early", address)
	}
	if response.StatusCode != http.StatusOK {
		var failure wire.Failure
		json.Unmarshal(content, &failure) // Without a valid failure body the error names the status only.
		return nil, nil, newRefusal(response.StatusCode, failure)
	}
	return content, response.Header, nil
}
