package event

import "github.com/rs/zerolog"

// Events of streams and the software versions that began them, 130 to 139.
var (
	StreamTakenUp           = register(130, zerolog.InfoLevel, "caller takes a stream up after its first attempt broke off", "None. The stream goes on at a backend server of the named software version.")
	StreamUnknown           = register(131, zerolog.WarnLevel, "software version that began a stream not known, the request is refused", "None if routers were killed during an upgrade of the backend servers. Otherwise check the calls between routers (event 132).")
	RecordsNotCopied        = register(132, zerolog.InfoLevel, "records of streams not handed to another router", "Check the named router if it repeats. The records go to another one.")
	ServiceSoftwareChanged  = register(133, zerolog.InfoLevel, "software versions of a service changed", "None if its backend servers are being upgraded.")
	SoftwareRowInvalid      = register(134, zerolog.ErrorLevel, "invalid row about software versions in the store", "Find the writer of the named row. It is written again.")
	SoftwareRowsUnavailable = register(135, zerolog.WarnLevel, "rows about software versions cannot be read or written", "Check the store if it continues. The router tries again.")
)
