package event

import "github.com/rs/zerolog"

// Events of requests and attempts, 100 to 199.
var (
	RequestEnded          = register(100, zerolog.InfoLevel, "request ended", "None. See explain for the reasons of a refusal.")
	AttemptHeld           = register(101, zerolog.WarnLevel, "outcome of an attempt unknown, its reservation is held", "None. The usage report of the backend server resolves it.")
	AttemptResolved       = register(102, zerolog.InfoLevel, "outcome of a held attempt resolved", "None.")
	AttemptCharged        = register(103, zerolog.WarnLevel, "held attempt charged in full", "Check the backend server: it has no usage report of the attempt.")
	StreamResumed         = register(104, zerolog.InfoLevel, "stream resumed on its backend server", "None.")
	StreamBroken          = register(105, zerolog.WarnLevel, "stream interrupted and could not be resumed", "Check the named backend server.")
	ReservedRemotely      = register(106, zerolog.DebugLevel, "tokens reserved at another router", "None.")
	StreamMoved           = register(107, zerolog.InfoLevel, "stream continues on another backend server", "Check the named backend server, which interrupted the stream.")
	SoftwareChanged       = register(108, zerolog.InfoLevel, "software version of a backend server learned or changed", "None. Streams continue only on servers of the version that began them.")
	SoftwareDiffers       = register(109, zerolog.InfoLevel, "attempt given up, the backend server runs another software version than the one that began the stream", "None unless it repeats after a change of versions; then check the load reports of the named server.")
	AttemptRetried        = register(120, zerolog.InfoLevel, "request retried on another backend server", "None. The field reason tells how the previous attempt ended.")
	AttemptRefused        = register(121, zerolog.InfoLevel, "backend server refused the attempt without executing it", "None unless it continues; then add backend servers.")
	RequestRejected       = register(123, zerolog.WarnLevel, "request refused before it was routed", "None if the field reason describes a fault of the request. If it names the link of the host, add hosts or bandwidth.")
	AttemptLost           = register(122, zerolog.InfoLevel, "attempt without a usable response", "Check the named backend server if it repeats.")
	AttemptSent           = register(124, zerolog.InfoLevel, "attempt sent to a backend server", "None. The choice was based on the fields cached, ahead, batch, load_age and work. With a donor, the server was told to fetch a part of the prompt from it, expected to be the tokens in fetched.")
	NoServerAvailable     = register(125, zerolog.WarnLevel, "no backend server accepts the request", "See the field reasons. If there are no candidates, check the entries of the service's backend servers.")
	CallerDisconnected    = register(126, zerolog.InfoLevel, "connection of a caller ended during a request", "None if the field closed is true: the caller has closed it. A connection that timed out had a caller that did not read or could not be reached.")
	CallerHandlerPanicked = register(127, zerolog.ErrorLevel, "request ended without a response by a panic", "Report the cause and the stack trace.")
)
