package event

import "github.com/rs/zerolog"

// Events of the callers' side, 100 to 199.
var (
	RequestEnded     = register(100, zerolog.InfoLevel, "request ended", "None. See explain for the reasons of a refusal.")
	AttemptHeld      = register(101, zerolog.WarnLevel, "attempt of unknown outcome, its reservation is held", "None; the usage report of the backend server resolves it.")
	AttemptResolved  = register(102, zerolog.InfoLevel, "held attempt resolved", "None.")
	AttemptCharged   = register(103, zerolog.WarnLevel, "held attempt charged at its bound", "Check the backend server: it has no usage report of the attempt.")
	StreamResumed    = register(104, zerolog.InfoLevel, "stream resumed on its backend server", "None.")
	StreamBroken     = register(105, zerolog.WarnLevel, "stream broke off and could not be resumed", "Check the backend server named.")
	ReservedRemotely = register(106, zerolog.DebugLevel, "tokens reserved at another router", "None.")
	StreamMoved      = register(107, zerolog.InfoLevel, "stream continues on another backend server", "Check the backend server named, which broke the stream off.")
	AttemptRepeated  = register(120, zerolog.InfoLevel, "request sent to another backend server", "None. The field reason tells what the attempt before ended with.")
	AttemptRefused   = register(121, zerolog.InfoLevel, "backend server did not run the attempt", "None unless it continues: then add backend servers.")
	RequestMalformed = register(123, zerolog.WarnLevel, "request refused before it was routed", "None if the field reason tells of the request; a full link asks for more or larger hosts.")
	AttemptLost      = register(122, zerolog.InfoLevel, "attempt without a usable answer", "Check the backend server named if it repeats.")
	AttemptSent      = register(124, zerolog.InfoLevel, "attempt sent to a backend server", "None. Cached, ahead, batch and load_age are what the choice was based on.")
	RequestUnplaced  = register(125, zerolog.WarnLevel, "no backend server takes the request", "See the field reasons. With no candidates, check the entries of the service's servers.")
)
