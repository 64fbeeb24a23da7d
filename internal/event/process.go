package event

import "github.com/rs/zerolog"

// Events of the process, 900 to 999.
var (
	ControllerFailed = register(912, zerolog.ErrorLevel, "controller ended in a panic and starts again", "Report the cause with its stack; what the controller keeps is old until it runs.")
	RouterStarted    = register(900, zerolog.InfoLevel, "router started", "None.")
	RouterReady      = register(901, zerolog.InfoLevel, "router ready", "None.")
	StopRequested    = register(902, zerolog.InfoLevel, "planned stop requested", "None.")
	StopFinished     = register(903, zerolog.InfoLevel, "planned stop finished", "None.")
	StopTimeout      = register(904, zerolog.WarnLevel, "planned stop reached its time limit with requests in flight", "Raise the setting grace if requests run longer than it.")
	RecoveryFailed   = register(905, zerolog.WarnLevel, "bills of a dead router not recovered yet", "Check the engines named in the error; the router tries again.")
	LinesDropped     = register(906, zerolog.WarnLevel, "log lines dropped, the reader is too slow", "Read the log faster, or look for what floods it.")
)
