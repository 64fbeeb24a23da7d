package event

import "github.com/rs/zerolog"

// Events of the process, 900 to 999.
var (
	ControllerFailed  = register(912, zerolog.ErrorLevel, "controller panicked and restarts", "Report the cause and its stack trace. The data of the controller is out of date until it runs again.")
	RouterStarted     = register(900, zerolog.InfoLevel, "router started", "None.")
	RouterReady       = register(901, zerolog.InfoLevel, "router ready", "None.")
	ShutdownRequested = register(902, zerolog.InfoLevel, "graceful shutdown requested", "None.")
	ShutdownFinished  = register(903, zerolog.InfoLevel, "graceful shutdown finished", "None.")
	ShutdownTimedOut  = register(904, zerolog.WarnLevel, "graceful shutdown timed out with requests in flight", "Raise the setting grace if requests take longer than it.")
	RecoveryFailed    = register(905, zerolog.WarnLevel, "bills of a dead router not recovered yet", "Check the engines named in the error. The router tries again.")
	LinesDropped      = register(906, zerolog.WarnLevel, "log lines dropped, the log reader is too slow", "Read the log faster, or find the cause of the log volume.")
	MemoryLimited     = register(913, zerolog.WarnLevel, "requests or connections refused, the memory or the connections of the listener are used up", "None if it is short. If it continues, look for callers with many connections or costly headers, or add routers or memory.")
)
