package event

import "github.com/rs/zerolog"

// Events of grants of prepaid budgets, on the users' platform (see package citronslip/platform), 240 to 259.
var (
	PrepaidUnavailable      = register(240, zerolog.InfoLevel, "no tokens available for a request", "If the field exhausted is true, top up the budget if the account should continue. Otherwise check the store and the network to it.")
	PrepaidWriteFailed      = register(241, zerolog.WarnLevel, "write of a grant failed or got no response", "Check the store if it continues. The router tries again.")
	PrepaidGrantOpened      = register(242, zerolog.InfoLevel, "grant of this router opened", "None. The field amount is what a previous process of the router held. The field charged is the part of it that counts as spent, given the time in the field silence.")
	PrepaidGrantWritten     = register(243, zerolog.InfoLevel, "grant written", "None.")
	PrepaidRowInvalid       = register(244, zerolog.ErrorLevel, "invalid row in the store, no more tokens are granted from it", "Find the writer of the named row.")
	PrepaidWriteConflict    = register(245, zerolog.InfoLevel, "write conflict, another router wrote the row first", "None.")
	PrepaidReservedRemotely = register(246, zerolog.InfoLevel, "tokens reserved at another router", "None.")
	PrepaidRemoteFailed     = register(247, zerolog.InfoLevel, "reservation request to another router failed", "Check the named router if it repeats.")
	PrepaidUnsettled        = register(248, zerolog.WarnLevel, "usage not reported to the router that made the reservation, which charges it in full", "None.")
	PrepaidSpentUnknown     = register(251, zerolog.ErrorLevel, "tokens spent beyond what the store knows as granted", "Check whether the store came back from an older copy (event 764).")
	PrepaidReconciled       = register(252, zerolog.InfoLevel, "budget row of an older copy combined with what this router knows", "None. The fields hold the row of the copy, the latest row that this router knows, the changes of which others told it, and the row after it.")
	PrepaidReturnSettled    = register(253, zerolog.InfoLevel, "it is known again what became of an unanswered write that returns tokens", "None. Until then the router spent at most the tokens in the field limit, which the write leaves, for the time in the field after.")
	PrepaidRelayChanged     = register(254, zerolog.InfoLevel, "another router now sends the writes of grants to the store, or no longer does", "Check the network between this router and the store if the field peer names a router.")
	MemberListPublished     = register(250, zerolog.InfoLevel, "this router now publishes the list of running routers", "None.")
	MemberCountChanged      = register(249, zerolog.InfoLevel, "number of running routers changed", "None.")
)
