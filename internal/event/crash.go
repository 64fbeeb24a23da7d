package event

import "github.com/rs/zerolog"

// Events of requests that crash backend servers on the users' platform, 340 to 349.
var (
	CrashRecorded  = register(340, zerolog.WarnLevel, "backend server went down while it ran a request", "None unless the fingerprint repeats.")
	CrashBlocked   = register(341, zerolog.WarnLevel, "request stopped, it has crashed too many backend servers", "Find the caller by the fingerprint in its last log line.")
	CrashUnwritten = register(342, zerolog.WarnLevel, "crash not recorded in the store yet", "Check the store if it continues.")
)
