package router

import (
	"citronslip/internal/board"
	"citronslip/internal/budget"
	"citronslip/internal/caller"
	"citronslip/internal/config"
	"citronslip/internal/hosts"
	"citronslip/internal/peer"
	"citronslip/internal/wire"
)

type (
	// SharedState is the state that the controllers of one router share. Each cell has a single writer; all others read it or
	// wait for its changes.
	SharedState struct {
		Adopted  board.Cell[config.Version]      // Newest configuration version received; written by the configuration controller.
		State    board.Cell[wire.ConfigState]    // Its number and whether the router may serve; same writer.
		Heard    board.Cell[peer.PeerVersion]    // Highest version that other routers reported; written by the membership.
		Version  board.Cell[caller.ActiveConfig] // Active configuration; written by Router.watchVersions.
		Declared board.Cell[budget.Declarations] // Budgets of the active configuration; written by Router.watchVersions.
		Hosts    board.Cell[[]hosts.Host]        // Latest host list of the platform; written by Router.pollHosts.
		Members  board.Cell[peer.Members]        // Routers of the fleet with their states; written by the membership.
		Live     board.Cell[[]string]            // Peer addresses of the reachable routers, sorted; written by Router.watchMembers.
		Stopping board.Cell[bool]                // Whether a graceful shutdown has begun; written by Router.stop.
	}
)
