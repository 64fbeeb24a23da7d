package event

import "github.com/rs/zerolog"

// Events of the listener for callers, 110 to 119.
var (
	CallerCertificateLoaded   = register(110, zerolog.InfoLevel, "certificate of the caller listener loaded", "None.")
	CallerCertificateRejected = register(111, zerolog.ErrorLevel, "certificate of the caller listener cannot be loaded, the previous one stays in use", "Replace the files; see docs/CONFIG.md.")
)
