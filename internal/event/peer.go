package event

import "github.com/rs/zerolog"

// Events between routers, 500 to 599.
var (
	PeerListening            = register(500, zerolog.InfoLevel, "peer listener open", "None.")
	PeerRefused              = register(501, zerolog.WarnLevel, "peer connection refused", "Compare the certificates and the required name on both routers.")
	PeerMessageRejected      = register(502, zerolog.WarnLevel, "peer connection closed after an invalid message", "Check that all routers run compatible releases.")
	PeerDisconnected         = register(505, zerolog.InfoLevel, "peer connection ended", "None. Calls reconnect. If it repeats, check the network between the two routers.")
	PeerCertificatesLoaded   = register(503, zerolog.InfoLevel, "peer certificates loaded", "None.")
	PeerCertificatesRejected = register(504, zerolog.ErrorLevel, "peer certificates cannot be loaded, the previous ones stay in use", "Replace the files; see docs/CONFIG.md.")
	MemberJoined             = register(510, zerolog.InfoLevel, "member joined", "None.")
	MemberReplaced           = register(511, zerolog.InfoLevel, "new instance at a known address", "None.")
	MemberSuspected          = register(512, zerolog.WarnLevel, "member suspected", "Check the host and the network between the two routers.")
	MemberRefuted            = register(513, zerolog.InfoLevel, "suspicion of this router refuted", "If it repeats, check the network and the load of this host.")
	MemberLeaving            = register(514, zerolog.InfoLevel, "member leaving", "None.")
)
