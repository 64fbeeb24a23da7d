package event

import "github.com/rs/zerolog"

// Events of the store and of data read from it, 750 to 799.
var (
	StoreUnreachable      = register(750, zerolog.WarnLevel, "store unreachable, the last known rows stay in effect", "Check the store and the network to it.")
	StoreReachable        = register(751, zerolog.InfoLevel, "store reachable again", "None.")
	StoreHistoryTruncated = register(752, zerolog.InfoLevel, "store no longer has the requested changes, the table is read in full", "None.")
	DirectoryApplied      = register(753, zerolog.InfoLevel, "configuration in effect", "None.")
	DirectoryInvalid      = register(754, zerolog.ErrorLevel, "invalid configuration, the previous one stays in effect", "Correct the named configuration.")
	ServersChanged        = register(755, zerolog.InfoLevel, "set of backend servers changed", "None.")
	ServerEntryInvalid    = register(756, zerolog.WarnLevel, "invalid entry of a backend server, the server gets no requests", "Find the writer of the entry.")
	SettingsRead          = register(757, zerolog.InfoLevel, "settings read", "None.")
	SettingsInvalid       = register(758, zerolog.ErrorLevel, "invalid settings, the previous ones stay in effect", "Correct the settings file.")
	ReadinessChanged      = register(759, zerolog.InfoLevel, "readiness changed", "None.")
	SendsDelayed          = register(761, zerolog.WarnLevel, "requests to backend servers held back or resumed because of a congested host link", "Check the traffic of the host if it repeats. Callers are sent to other hosts.")
	StoreUsage            = register(762, zerolog.InfoLevel, "calls to the store since the start", "None. The byte counts are those of the bodies.")
	SnapshotFailed        = register(763, zerolog.WarnLevel, "snapshot of a table cannot be read or written, the table itself is read", "Check the store if it repeats.")
	StoreRestored         = register(764, zerolog.WarnLevel, "store came back from an older copy, writes that it had confirmed are gone", "Find out why the store was restored. See docs/RESTORE.md.")
	FeedBehind            = register(765, zerolog.WarnLevel, "feed of a table has not told changes that the table itself shows, it is read in full", "Check the store if it repeats.")
	RelayFailed           = register(760, zerolog.InfoLevel, "another router could not relay its rows of the store", "Check the named router if it repeats.")
)
