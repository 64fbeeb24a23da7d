package router

import (
	"time"

	"citronslip/internal/board"
	"citronslip/internal/budget"
	"citronslip/internal/caller"
	"citronslip/internal/config"
	"citronslip/internal/hosts"
	"citronslip/internal/peer"
	"citronslip/internal/wire"
)

type (
	// SharedState is the state that the controllers of one router share. Each cell has a single writer; all others read
	// it or wait for its changes.
	SharedState struct {
		// Newest configuration version received; written by the configuration controller.
		Adopted board.Cell[config.Version]
		// Number of that version and whether the router may serve; written by the configuration controller.
		State board.Cell[wire.ConfigState]
		// Highest configuration version that other routers reported; written by the membership.
		Heard board.Cell[peer.AnnouncedVersion]
		// Active configuration; written by Router.watchVersions.
		Version board.Cell[caller.ActiveConfig]
		// Budgets of the active configuration; written by Router.watchVersions.
		Declared board.Cell[budget.Declarations]
		// Latest host list of the platform; written by Router.pollHosts.
		Hosts board.Cell[[]hosts.Host]
		// Routers of the fleet with their states; written by the membership.
		Members board.Cell[peer.Members]
		// Peer addresses of the reachable routers, sorted; written by Router.watchMembers.
		Live board.Cell[[]string]
		// Whether a graceful shutdown has begun; written by Router.stop.
		Stopping board.Cell[bool]
		// When a stopping router closes the connections of callers, once it takes no more requests that may last longer;
		// written by Router.stop.
		Closing board.Cell[time.Time]
	}
)
