package event

import "github.com/rs/zerolog"

// Events of budgets, 200 to 299.
var (
	ReservationExceeded       = register(200, zerolog.ErrorLevel, "usage exceeds the reservation", "Check the template overhead configured for the model. The excess was charged in full.")
	BudgetExhausted           = register(201, zerolog.WarnLevel, "budget exhausted, no tokens left to grant", "Top up the budget if the account should continue.")
	BudgetTotalChanged        = register(202, zerolog.InfoLevel, "configured total of a budget changed", "None.")
	BudgetTotalClamped        = register(203, zerolog.WarnLevel, "configured total of a budget is below the tokens spent and granted", "None if the reduction is intended: it takes effect as grants shrink. Otherwise raise the configured total.")
	GrantOpened               = register(210, zerolog.InfoLevel, "grant opened", "None.")
	GrantClosed               = register(211, zerolog.InfoLevel, "grant closed", "None.")
	GrantReclaimed            = register(212, zerolog.WarnLevel, "grant of a dead router reclaimed", "None. The field charged includes tokens that could not be proven unspent.")
	GrantLost                 = register(213, zerolog.ErrorLevel, "grant of this router was closed by another router", "The host list, or another instance at the same address, indicated that this router was gone while it ran. Check the setting lag and that no two routers share an address.")
	GrantRecovered            = register(214, zerolog.InfoLevel, "outcome of a table write without a response resolved", "None.")
	GrantsLeftOpen            = register(215, zerolog.WarnLevel, "graceful shutdown timed out with open grants", "Check the table service or the store. The grants are reclaimed once this instance is known to be gone.")
	AutonomyStarted           = register(220, zerolog.WarnLevel, "writes of budgets are not confirmed, spending continues up to the granted amounts", "Check the table service or the store, and the network to it. Service continues for the configured horizon.")
	AutonomyEnded             = register(221, zerolog.InfoLevel, "writes of budgets are confirmed again", "None.")
	BudgetTableFailed         = register(222, zerolog.WarnLevel, "call to the table service for budgets failed", "Check the table service if it continues.")
	RouterRecordedGone        = register(223, zerolog.WarnLevel, "router recorded as gone", "None if the host was removed; otherwise check the host list.")
	TableRestored             = register(225, zerolog.WarnLevel, "table has forgotten the registration of this router, it registers again", "Find out why the table was restored from an older copy.")
	GrantRewritten            = register(226, zerolog.WarnLevel, "grant that the table had forgotten written again", "Find out why the table was restored from an older copy. Check the sums of the budget rows.")
	RegistrationLost          = register(224, zerolog.ErrorLevel, "another instance registered under the address of this router", "Two routers use the same address. Stop one of them.")
	RemoteReservationsCharged = register(230, zerolog.WarnLevel, "unsettled reservations of another router charged in full", "None.")
)
