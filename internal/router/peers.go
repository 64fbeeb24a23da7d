package router

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"citronslip/internal/budget"
	"citronslip/internal/caller"
	"citronslip/internal/claim"
	"citronslip/internal/config"
	"citronslip/internal/hosts"
	"citronslip/internal/peer"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// peerName is the URI that the certificate of every router carries.
	peerName = "urn:citronslip:router"
	// claimWait bounds the wait for another router's request; it stays below the peer client's time limit.
	claimWait = 4 * time.Second
	// joinTime exceeds the 11 s that a fleet that starts at once takes until all routers know each other.
	joinTime = 15 * time.Second
	// answerBytes is the largest recorded answer that fits into a peer message. Larger ones are read from the table.
	answerBytes = 256 << 10
)

// buildPeers makes the parts that speak to other routers.
func (r *Router) buildPeers() {
	var security *peer.TLS
	if r.Settings.Authority != "" {
		security = &peer.TLS{
			Authority:   r.Settings.Authority,
			Certificate: r.Settings.Identity,
			Key:         r.Settings.Secret,
			Name:        peerName,
		}
	}
	r.methods = &peer.Methods{}
	r.peers = &peer.Client{TLS: security, Methods: r.methods, Traffic: &r.traffic, Logger: r.Logger, Metrics: r.scope.SubScope("peer")}
	r.membership = &peer.Membership{
		Self:    r.self(),
		Seeds:   r.seeds,
		Client:  r.peers,
		Members: &r.board.Members,
		Version: &r.board.State,
		Heard:   &r.board.Heard,
		Logger:  r.Logger,
		Metrics: r.scope.SubScope("membership"),
	}
	r.store = &config.Store{Table: r.table, Objects: r.objects}
	r.config = &config.Controller{
		Store:    r.store,
		Get:      r.peers.Get,
		Ask:      r.peers.Version,
		Join:     r.peers.VersionNow,
		Parse:    inventory.Decode,
		Adopted:  &r.board.Adopted,
		State:    &r.board.State,
		Members:  &r.board.Members,
		Heard:    &r.board.Heard,
		Seeds:    r.seeds,
		Instance: r.instance,
		Logger:   r.Logger,
		Metrics:  r.scope.SubScope("config"),
	}
	r.methods.Hello = r.membership.Hello
	r.methods.Ping = r.membership.Ping
	r.methods.Get = r.config.ServeGet
	r.methods.Version = r.config.ServeVersion
	r.methods.State = r.claimState
	r.methods.Explain = r.explainRequest
	r.methods.Reserve = r.reserveFor
	r.methods.Settle = r.settleFor
	r.methods.Cancel = r.cancelFor
	r.remote = &budget.Remote{
		Live:     &r.board.Live,
		Address:  r.Settings.Peer,
		Instance: r.instance,
		Call:     r.callHome,
	}
	r.peerServer = &peer.Server{
		Address: r.Settings.Peer,
		TLS:     security,
		Methods: r.methods,
		Client:  r.peers,
		Traffic: &r.traffic,
		Logger:  r.Logger,
		Metrics: r.scope.SubScope("peer"),
	}
}

func (r *Router) self() wire.Member {
	return wire.Member{
		Address:  r.Settings.Peer,
		Instance: r.instance,
		Host:     r.Settings.Name,
		Place:    r.Settings.Place,
		State:    wire.MemberStateLive,
	}
}

// seeds returns the configured seeds and the routers of the host list.
func (r *Router) seeds() []string {
	seeds := r.Settings.SeedList()
	list := r.board.Hosts.Load()
	version := r.board.Version.Load()
	if list == nil || version == nil {
		return seeds
	}
	routers := make(map[string]bool)
	for _, host := range version.Index.Inventory.Hosts {
		routers[host.Address] = true
	}
	for _, host := range *list {
		if routers[host.Address] && host.State == hosts.Live {
			seeds = append(seeds, host.Address)
		}
	}
	return seeds
}

// watchVersions puts adopted configuration versions in force.
func (r *Router) watchVersions(ctx context.Context) error {
	for {
		adopted, changed := r.board.Adopted.Watch()
		if adopted != nil {
			r.adopt(adopted.Number, adopted.Inventory)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// watchMembers derives the reachable routers from the membership. For the time in which a fleet joins, declared hosts of
// which nothing is known yet count as reachable: a router that takes itself for the only one refuses requests for whose
// budget another one has tokens.
func (r *Router) watchMembers(ctx context.Context) error {
	joined := time.NewTimer(joinTime)
	defer joined.Stop()
	joining := true
	for {
		members, membersChanged := r.board.Members.Watch()
		version, versionChanged := r.board.Version.Watch()
		var declared []inventory.Host
		if version != nil && joining {
			declared = version.Index.Inventory.Hosts
		}
		r.storeLive(members, declared)
		select {
		case <-ctx.Done():
			return nil
		case <-membersChanged:
		case <-versionChanged:
		case <-joined.C:
			joining = false
		}
	}
}

// storeLive publishes the live members and those declared hosts of which nothing is known.
func (r *Router) storeLive(members *peer.Members, declared []inventory.Host) {
	known := map[string]bool{r.Settings.Peer: true}
	live := []string{r.Settings.Peer}
	if members != nil {
		for _, member := range members.List {
			known[member.Address] = true
			if member.State == wire.MemberStateLive && member.Address != r.Settings.Peer {
				live = append(live, member.Address)
			}
		}
	}
	for _, host := range declared {
		if !known[host.Address] {
			live = append(live, host.Address)
		}
	}
	slices.Sort(live)
	r.board.Live.Store(&live)
}

// claimState answers a peer that asks for the state of a claim of this instance.
func (r *Router) claimState(ctx context.Context, query wire.RequestQuery) (wire.RequestState, error) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	report := r.claims.Report(ctx, query.Account, query.Key, query.Nonce)
	state := wire.RequestState{
		Request:  query.Request,
		Instance: r.instance,
		State:    wire.RequestStateState(report.State),
	}
	if report.Answer == nil || len(report.Answer.Body) > answerBytes {
		return state, nil
	}
	data, err := json.Marshal(report.Answer)
	if err != nil {
		return state, trace.Wrap(err)
	}
	state.Answer = string(data)
	return state, nil
}

// askClaim asks the instance that holds a claim for its state.
func (r *Router) askClaim(ctx context.Context, instance, account, key, nonce string) (claim.Report, error) {
	address, err := addressOf(instance)
	if err != nil {
		return claim.Report{}, err
	}
	query := wire.RequestQuery{Account: account, Key: key, Nonce: nonce}
	state, err := r.peers.State(ctx, address, query)
	if err != nil {
		return claim.Report{}, trace.Wrap(err)
	}
	if state.Instance != instance {
		return claim.Report{}, trace.NotFound("instance %s is no longer at %s", instance, address)
	}
	report := claim.Report{State: claim.State(state.State)}
	if state.Answer == "" {
		return report, nil
	}
	report.Answer = &claim.Answer{}
	return report, trace.Wrap(json.Unmarshal([]byte(state.Answer), report.Answer))
}

// explainRequest tells a peer what this router knows of a request.
func (r *Router) explainRequest(_ context.Context, query wire.RequestQuery) (wire.RequestExplanation, error) {
	result := wire.RequestExplanation{Request: query.Request, Instance: r.instance}
	record := r.front.Explain.Get(query.Request)
	if record == nil {
		return result, nil
	}
	data, err := json.Marshal(caller.Explanation(record))
	if err != nil {
		return result, trace.Wrap(err)
	}
	result.Found = true
	result.Explanation = string(data)
	return result, nil
}
