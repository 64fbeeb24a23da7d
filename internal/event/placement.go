package event

import "github.com/rs/zerolog"

// Events of placement, 700 to 749.
var (
	LeaseAcquired    = register(700, zerolog.InfoLevel, "placement lease acquired", "None.")
	LeaseLost        = register(701, zerolog.WarnLevel, "placement lease lost", "Check the table service if it happens often. Another router takes over.")
	CommandSent      = register(702, zerolog.InfoLevel, "command sent to engine", "None.")
	CommandFailed    = register(703, zerolog.WarnLevel, "command to engine failed", "Check the engine. The command is sent again once its outcome is known.")
	CommandRefused   = register(704, zerolog.WarnLevel, "engine refused a command with an outdated fencing token", "None. Another router holds the lease.")
	PlacementReached = register(705, zerolog.InfoLevel, "placement matches the configuration", "None.")
)
