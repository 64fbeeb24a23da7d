package event

import "github.com/rs/zerolog"

// Events of prepaid grants on the users' platform, 240 to 259.
var (
	PrepaidShort     = register(240, zerolog.InfoLevel, "request gets no tokens", "With exhausted, top the budget up if the account is to continue; without, check the store and the network to it.")
	PrepaidWrite     = register(241, zerolog.WarnLevel, "write of a grant failed or was not answered", "Check the store if it continues; the router tries again.")
	PrepaidTaken     = register(242, zerolog.InfoLevel, "grant of this router opened", "None. The field amount tells what an earlier process of the router held, charged what of it counts as spent after its silence.")
	PrepaidSized     = register(243, zerolog.InfoLevel, "grant written", "None.")
	PrepaidRow       = register(244, zerolog.ErrorLevel, "row of the store unreadable, nothing more is granted from it", "Find the writer of the row named.")
	PrepaidConflict  = register(245, zerolog.InfoLevel, "another router wrote the row first", "None.")
	PrepaidBorrowed  = register(246, zerolog.InfoLevel, "tokens reserved at another router", "None.")
	PrepaidUnlent    = register(247, zerolog.InfoLevel, "another router did not answer the question for tokens", "Check the router named if it repeats.")
	PrepaidUnsettled = register(248, zerolog.WarnLevel, "consumption not reported to the router that reserved it; it counts the whole reservation", "None.")
	KeeperTaken      = register(250, zerolog.InfoLevel, "this router tells the others which routers run", "None.")
	MembersRead      = register(249, zerolog.InfoLevel, "number of running routers changed", "None.")
)
