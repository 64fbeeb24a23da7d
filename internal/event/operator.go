package event

import "github.com/rs/zerolog"

// Events of the listener for operators, 800 to 899.
var (
	ApplyAccepted      = register(800, zerolog.InfoLevel, "configuration change committed", "None.")
	ApplyRefused       = register(801, zerolog.WarnLevel, "configuration change refused", "Read the findings or the conflict that the command printed, then apply again.")
	ApplyUnknown       = register(802, zerolog.WarnLevel, "outcome of a configuration change unknown", "None. The command asks again with the same change ID. If the command was stopped, look for the change in the history.")
	CredentialRefused  = register(803, zerolog.WarnLevel, "operator credential refused", "Check the credential file. Investigate the source address if it repeats.")
	OperatorCallFailed = register(804, zerolog.ErrorLevel, "operator call failed", "See the error. The table service or the object store may be down.")
)
