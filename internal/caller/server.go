package caller

import (
	"net/http"

	"citronslip/internal/memory"
)

const (
	// maxConcurrentStreams bounds the requests in progress on one HTTP/2 connection.
	maxConcurrentStreams = 250
)

// Server returns the HTTP server for callers. It serves HTTP/1.1 and HTTP/2, each with TLS and in clear text. It sets
// no deadline for the body of a request, since a fixed deadline would end the connection of a long stream; ioWatchdog
// ends bodies that make no progress instead.
func (f *Frontend) Server() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	idleTimeout := f.Idle
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	return &http.Server{
		Handler:           f.Handler(),
		ReadHeaderTimeout: idleTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    f.HeaderBytes,
		Protocols:         &protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxConcurrentStreams,
			// What a connection may send before its requests read it counts as its memory.
			MaxReceiveBufferPerConnection: memory.HTTP2ReceiveBytes,
			MaxReceiveBufferPerStream:     memory.HTTP2ReceiveBytes,
			// Close connections that accept no data at all, and those whose peer disappeared without closing them.
			WriteByteTimeout: idleTimeout,
			SendPingTimeout:  idleTimeout,
			PingTimeout:      idleTimeout,
		},
	}
}
