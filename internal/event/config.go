package event

import "github.com/rs/zerolog"

// Events of configuration versions, 600 to 699.
var (
	ConfigAdopted   = register(600, zerolog.InfoLevel, "configuration version in force", "None.")
	ConfigRejected  = register(601, zerolog.ErrorLevel, "configuration version rejected, the previous one stays in force", "Check that all routers run the same release, then commit a version that they accept.")
	ConfigTableDown = register(602, zerolog.WarnLevel, "table unreachable, configuration comes from peers only", "Check the table service.")
	ConfigTableUp   = register(603, zerolog.InfoLevel, "table reachable again", "None.")
	ConfigNotReady  = register(604, zerolog.WarnLevel, "router not ready: no configuration version", "See the field reason.")
	ConfigFetch     = register(605, zerolog.WarnLevel, "configuration version cannot be fetched", "Check the object store and the peers; the router tries again.")
	ConfigFork      = register(606, zerolog.ErrorLevel, "the table names another version under a number in force", "Restore the table's row config/head, or commit a new version with a higher number.")
	ConfigJoinAgain = register(607, zerolog.WarnLevel, "router asks its peers again for the configuration", "None. The newest version could not be fetched, or the answers were too old to serve on.")
)
