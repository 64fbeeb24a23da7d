package event

import "github.com/rs/zerolog"

// Events of requests that crash backend servers, on the users' platform (see package citronslip/platform), 340 to 349.
var (
	CrashRecorded    = register(340, zerolog.WarnLevel, "backend server crashed while it executed a request", "None unless the fingerprint or a part repeats.")
	RequestBlocked   = register(341, zerolog.WarnLevel, "content blocked, it has crashed too many backend servers", "Find the caller by the fingerprint, or by the parts in the last log lines of requests. The field until tells how long; a single request is tried then.")
	CrashWriteFailed = register(342, zerolog.WarnLevel, "crash not recorded in the store yet", "Check the store if it continues.")
	RequestUnblocked = register(343, zerolog.InfoLevel, "content no longer blocked", "None. A backend server has answered a request with it, or other content explains the crashes.")
	RequestTried     = register(344, zerolog.InfoLevel, "a single request with blocked content is tried", "None.")
	ContentProven    = register(345, zerolog.InfoLevel, "content in flight at several crashes is harmless, a backend server has answered it", "None.")
	RequestWithdrawn = register(346, zerolog.WarnLevel, "request in flight withdrawn from its backend server, its content crashes servers", "None.")
)
