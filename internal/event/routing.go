package event

import "github.com/rs/zerolog"

// Events of routing and admission, 400 to 499.
var (
	CircuitOpened         = register(400, zerolog.WarnLevel, "circuit breaker opened, the backend server gets no new requests", "Check the log of the backend server. The circuit closes after a successful probe.")
	CircuitClosed         = register(401, zerolog.InfoLevel, "circuit breaker closed after a successful probe", "None.")
	ServerLeaving         = register(402, zerolog.InfoLevel, "backend server announced its removal, it gets no new requests", "None if planned. It gets requests again when the host list shows it live.")
	ServerReturned        = register(403, zerolog.InfoLevel, "host list shows the backend server live again", "None.")
	RateLimitNamed        = register(404, zerolog.InfoLevel, "backend server named a rate limit for all routers together", "Check the load of the named server. Add capacity if many servers name limits.")
	RateLimitEnded        = register(405, zerolog.InfoLevel, "backend server no longer names a rate limit", "None.")
	RateLimitInvalid      = register(406, zerolog.WarnLevel, "backend server named an invalid rate limit, which is ignored", "Correct the named server.")
	RateIssuerChanged     = register(407, zerolog.InfoLevel, "issuer of the permits of a rate limit changed", "None unless it repeats; then check the named routers and the network between them.")
	RatePermitFailed      = register(408, zerolog.InfoLevel, "call about a rate limit to another router failed", "Check the named router if it repeats. The server gets no requests from this router until another one issues permits.")
	RateRowWriteFailed    = register(409, zerolog.InfoLevel, "write of the row of a rate limit failed", "Check the store if it repeats. The router tries again.")
	RateRowInvalid        = register(412, zerolog.WarnLevel, "invalid row of a rate limit, which is ignored", "Find the writer of the row.")
	PathBroken            = register(420, zerolog.WarnLevel, "connections to a backend server cannot be opened", "Check the server, and the network between this host and it if event 421 follows: another router reaches it then.")
	PathFound             = register(421, zerolog.WarnLevel, "requests to a backend server go through another router, which reaches it", "Check the network between this host and the server.")
	PathRestored          = register(422, zerolog.InfoLevel, "connections to a backend server can be opened again", "None.")
	RequestProxied        = register(423, zerolog.InfoLevel, "request sent to its backend server through another router", "None. The log of the named router shows the rest.")
	ProxyFailed           = register(424, zerolog.InfoLevel, "request not carried by another router", "Check the named router if it repeats.")
	RequestCarried        = register(425, zerolog.InfoLevel, "request of another router sent to its backend server or refused", "None.")
	ReachQueryFailed      = register(426, zerolog.InfoLevel, "router asked for the backend servers that it reaches did not answer", "Check the named router if it repeats.")
	HealthChecked         = register(427, zerolog.InfoLevel, "health of a backend server with an open circuit checked", "None. If it stays unhealthy, check the named server and its health path.")
	CircuitTrial          = register(428, zerolog.InfoLevel, "request that may run only once probes a backend server", "None. If it fails although the server seemed healthy, check the health path of the service.")
	ServerBrittle         = register(413, zerolog.WarnLevel, "backend server said how many rejections in a second it can stand", "Add capacity to its service, or reduce the load. Routers hold requests back that the server has no room for.")
	LimitLowered          = register(410, zerolog.WarnLevel, "concurrency limit lowered, backend servers exceed the latency target", "Check for lost or slow backend servers. Add capacity if it persists.")
	QueuedRequestsRefused = register(411, zerolog.WarnLevel, "queued requests refused because they would miss their deadlines", "Add capacity, or reduce the load of the accounts with the longest queues.")
)
