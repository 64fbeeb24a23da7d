package caller

import (
	"net/http"
)

const (
	// maxConcurrentStreams bounds the requests in progress on one HTTP/2 connection.
	maxConcurrentStreams = 250
)

// Server returns the HTTP server for callers, for HTTP/1.1 and HTTP/2 both with TLS and in clear text. The body of a
// request has no deadline here, since a guard watches it: a fixed deadline would end the connection of a long stream.
func (f *Front) Server() *http.Server {
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
			// Callers whose connection takes no data at all, and those that vanished without a word.
			WriteByteTimeout: idleTimeout,
			SendPingTimeout:  idleTimeout,
			PingTimeout:      idleTimeout,
		},
	}
}
