package event

import "github.com/rs/zerolog"

// Events of claims, bills and quarantined requests, 300 to 399.
var (
	ClaimUnresolved = register(300, zerolog.WarnLevel, "claim of a request could not be resolved", "Check the table service. The request was not executed. The claim is removed once the table service responds.")
	ClaimLost       = register(301, zerolog.WarnLevel, "outcome of a claimed request lost", "Check with the service whether the request was executed before repeating it with another key.")
	ClaimPending    = register(302, zerolog.WarnLevel, "response to a claimed request not recorded yet", "Check the table service and the object store. The router repeats the write.")
	ClaimEvicted    = register(303, zerolog.ErrorLevel, "unrecorded response dropped, too many are waiting", "Restore the table service or the object store. Retries of the request are told that its outcome is unknown.")
	ClaimCleaned    = register(304, zerolog.InfoLevel, "expired claims removed", "None.")

	BillsDelayed   = register(310, zerolog.WarnLevel, "bills are waiting to be written to the table service", "Check the table service. No bill is lost as long as the router runs.")
	BillQueueFull  = register(311, zerolog.ErrorLevel, "too many keyed bills are waiting, keyed requests are refused", "Restore the table service.")
	BillsRecovered = register(312, zerolog.InfoLevel, "bills of a dead instance recovered", "None.")
	BillsUnwritten = register(313, zerolog.ErrorLevel, "graceful shutdown finished with unwritten bills", "Restore the table service, then recover the bills from the usage reports of the engines.")

	CrashDetected        = register(320, zerolog.WarnLevel, "backend server crashed with requests in flight", "Check the log of the engine. The requests are retried one at a time.")
	TrialStarted         = register(321, zerolog.InfoLevel, "suspect request runs alone in a trial", "None.")
	SuspectCleared       = register(322, zerolog.InfoLevel, "suspect request completed and was cleared", "None.")
	Quarantined          = register(323, zerolog.ErrorLevel, "request quarantined after two crashes", "Report the fingerprint to the engine's maintainers. Release it once the engine is fixed.")
	CrashUnrecorded      = register(324, zerolog.WarnLevel, "crash not recorded in the table service yet", "Check the table service. Peers have been notified.")
	QuarantineReadFailed = register(325, zerolog.WarnLevel, "quarantine records could not be read", "Check the table service.")
	QuarantineLifted     = register(326, zerolog.InfoLevel, "quarantine lifted by an operator", "None.")
)
