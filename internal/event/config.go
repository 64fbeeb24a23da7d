package event

import "github.com/rs/zerolog"

// Events of configuration versions, 600 to 699.
var (
	ConfigAdopted          = register(600, zerolog.InfoLevel, "configuration version in effect", "None.")
	ConfigRejected         = register(601, zerolog.ErrorLevel, "configuration version rejected, the previous one stays in effect", "Check that all routers run the same release, then commit a version that they accept.")
	ConfigTableUnreachable = register(602, zerolog.WarnLevel, "table service unreachable, configuration is read from peers only", "Check the table service.")
	ConfigTableReachable   = register(603, zerolog.InfoLevel, "table service reachable again", "None.")
	ConfigNotReady         = register(604, zerolog.WarnLevel, "router not ready: no configuration version", "See the field reason.")
	ConfigFetchFailed      = register(605, zerolog.WarnLevel, "configuration version cannot be fetched", "Check the object store and the peers. The router tries again.")
	ConfigConflict         = register(606, zerolog.ErrorLevel, "table service names a different configuration under the version number in effect", "Restore the row config/head of the table, or commit a new version with a higher number.")
	ConfigRequestedAgain   = register(607, zerolog.WarnLevel, "configuration requested from peers again", "None. The newest version could not be fetched, or the responses were too old to serve with.")
)
