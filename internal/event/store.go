package event

import "github.com/rs/zerolog"

// Events of the store and of what is read from it, 700 to 799 with those of placement; here 750 to 799.
var (
	StoreLost       = register(750, zerolog.WarnLevel, "store unreachable, the last known rows stay in force", "Check the store and the network to it.")
	StoreRegained   = register(751, zerolog.InfoLevel, "store reachable again", "None.")
	StoreHistory    = register(752, zerolog.InfoLevel, "store no longer has the changes, table read anew", "None.")
	DirectoryTaken  = register(753, zerolog.InfoLevel, "configuration in force", "None.")
	DirectoryFault  = register(754, zerolog.ErrorLevel, "configuration unreadable, the one before stays in force", "Correct the configuration named.")
	ServersChanged  = register(755, zerolog.InfoLevel, "set of backend servers changed", "None.")
	ServerFault     = register(756, zerolog.WarnLevel, "entry of a backend server unreadable, the server gets no requests", "Find the writer of the entry.")
	SettingsRead    = register(757, zerolog.InfoLevel, "settings read", "None.")
	SettingsFault   = register(758, zerolog.ErrorLevel, "settings unreadable, those before stay in force", "Correct the settings file.")
	ReadinessTurned = register(759, zerolog.InfoLevel, "readiness changed", "None.")
	SendsHeld       = register(761, zerolog.WarnLevel, "sends to backend servers held back or resumed, link of the host full", "Look at the traffic of the host if it repeats; callers are sent to other hosts.")
	StoreUsage      = register(762, zerolog.InfoLevel, "calls to the store since the start", "None. The bytes are those of the bodies.")
	SnapshotFault   = register(763, zerolog.WarnLevel, "snapshot of a table cannot be read or written, the table itself is read", "Check the store if it repeats.")
	RelayFailed     = register(760, zerolog.InfoLevel, "another router did not tell what it has of the store", "Check the router named if it repeats.")
)
