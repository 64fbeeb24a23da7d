package event

import "github.com/rs/zerolog"

// Events of requests that crash backend servers, on the users' platform (see package citronslip/platform), 340 to 349.
var (
	CrashRecorded    = register(340, zerolog.WarnLevel, "backend server crashed while it executed a request", "None unless the fingerprint repeats.")
	RequestBlocked   = register(341, zerolog.WarnLevel, "request blocked, it has crashed too many backend servers", "Find the caller by the fingerprint in the last log line of the request.")
	CrashWriteFailed = register(342, zerolog.WarnLevel, "crash not recorded in the store yet", "Check the store if it continues.")
)
