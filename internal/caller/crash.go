package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"citronslip/internal/crash"
	"citronslip/internal/routing"
)

const (
	// maxMessageParts is the number of messages of a chat whose content is compared with that of other requests.
	maxMessageParts = 64
	// partIDBase is the base in which the IDs of parts are written.
	partIDBase = 16
)

// messageParts returns an ID for each message of a chat but the last, which belongs to the request itself. Requests that
// share a message share its ID.
func messageParts(messages []byte) []string {
	var list []json.RawMessage
	if json.Unmarshal(messages, &list) != nil || len(list) == 0 {
		return nil
	}
	var parts []string
	for _, message := range list[:min(len(list)-1, maxMessageParts)] {
		parts = append(parts, strconv.FormatUint(xxhash.Sum64(message), partIDBase))
	}
	return parts
}

// crashRefusal returns the refusal of a request whose content crashes backend servers, or nil if it may be sent.
func (c *call) crashRefusal() *failed {
	if c.front.Crashes == nil || c.content.Fingerprint == "" {
		return nil
	}
	blocked, ok := c.front.Crashes.Check(c.content).(crash.Blocked)
	if !ok {
		return nil
	}
	message := "the request has content that crashes backend servers"
	refusal := newRetryableRefusal(http.StatusServiceUnavailable, CodeQuarantine, message, blocked.After)
	return &failed{outcome: routing.Cancelled{}, refusal: refusal, final: true}
}

// recordProgress records that a backend server has gone on with its answer, or has completed it.
func (c *call) recordProgress(a *attempt) {
	a.progressed = true
	if c.front.Crashes != nil {
		c.front.Crashes.RecordProgress(c.content)
	}
}

// recordCrash records that the server of an attempt crashed while it ran the request.
func (c *call) recordCrash(a *attempt) {
	if c.front.Crashes == nil || c.content.Fingerprint == "" {
		return
	}
	server := a.choice.Server
	process := crash.Process{Server: server.Name, ID: server.Name + "/" + a.serverProcess, Address: server.Address}
	c.front.Crashes.AddSuspect(c.content, process, a.progressed)
	c.front.Crashes.RecordServerDown(server.Name)
}
