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
	"citronslip/internal/memory"
	"citronslip/internal/peer"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// peerURI is the URI in the certificate of every router, by which routers recognize each other.
	peerURI = "urn:citronslip:router"
	// claimWaitTimeout bounds the wait for a running request that another router asks about. It is shorter than the
	// call timeout of the peer client.
	claimWaitTimeout = 4 * time.Second
	// joinWindow is the time after the start in which unknown hosts count as reachable. It exceeds the 11 s in which
	// all routers of a fleet that are started together learn of each other.
	joinWindow = 15 * time.Second
	// maxAnswerBytes is the size of the largest recorded answer that fits into a message to another router. The other
	// router reads larger ones from the table.
	maxAnswerBytes = 256 << 10
)

// buildPeers creates the parts that communicate with other routers, and registers their peer methods.
func (r *Router) buildPeers() {
	var security *peer.TLS
	if r.Settings.Authority != "" {
		security = &peer.TLS{
			Authority:   r.Settings.Authority,
			Certificate: r.Settings.Identity,
			Key:         r.Settings.Secret,
			Name:        peerURI,
		}
	}
	r.peerMethods = &peer.Methods{}
	r.peerClient = &peer.Client{TLS: security, Methods: r.peerMethods, Traffic: &r.traffic, Logger: r.Logger, Metrics: r.scope.SubScope("peer")}
	r.membership = &peer.Membership{
		Self:    r.selfMember(),
		Seeds:   r.seeds,
		Client:  r.peerClient,
		Members: &r.shared.Members,
		Version: &r.shared.State,
		Heard:   &r.shared.Heard,
		Logger:  r.Logger,
		Metrics: r.scope.SubScope("membership"),
	}
	r.store = &config.Store{Table: r.table, Objects: r.objects}
	r.config = &config.Controller{
		Store:    r.store,
		Get:      r.peerClient.GetConfigPart,
		Ask:      r.peerClient.GetConfigState,
		Join:     r.peerClient.GetConfigStateNow,
		Parse:    inventory.Decode,
		Adopted:  &r.shared.Adopted,
		State:    &r.shared.State,
		Members:  &r.shared.Members,
		Heard:    &r.shared.Heard,
		Seeds:    r.seeds,
		Instance: r.instance,
		Logger:   r.Logger,
		Metrics:  r.scope.SubScope("config"),
	}
	r.peerMethods.Hello = r.membership.Hello
	r.peerMethods.Ping = r.membership.Ping
	r.peerMethods.Get = r.config.ServeConfigGet
	r.peerMethods.Version = r.config.ServeConfigState
	r.peerMethods.State = r.handleClaimState
	r.peerMethods.Explain = r.handleExplain
	r.peerMethods.Reserve = r.handleReserve
	r.peerMethods.Settle = r.handleSettle
	r.peerMethods.Cancel = r.handleCancel
	r.peerMethods.Reach = r.paths.Reach
	r.paths.Peers = r.peerClient
	r.remoteBudgets = &budget.Remote{
		Live:     &r.shared.Live,
		Address:  r.Settings.Peer,
		Instance: r.instance,
		Call:     r.callBudgetMethod,
	}
	r.peerServer = &peer.Server{
		Address:     r.Settings.Peer,
		TLS:         security,
		Methods:     r.peerMethods,
		Client:      r.peerClient,
		Connections: memory.MessageConns(r.Settings.Descriptors),
		Memory:      &memory.Budget{Limit: memory.MessageBudgetOf(int64(r.Settings.Memory) * bytesPerMB)},
		Traffic:     &r.traffic,
		Logger:      r.Logger,
		Metrics:     r.scope.SubScope("peer"),
	}
}

func (r *Router) selfMember() wire.Member {
	return wire.Member{
		Address:  r.Settings.Peer,
		Instance: r.instance,
		Host:     r.Settings.Name,
		Place:    r.Settings.Place,
		State:    wire.MemberStateLive,
	}
}

// seeds returns the configured seeds and the addresses of declared hosts that the host list reports as live.
func (r *Router) seeds() []string {
	seeds := r.Settings.SeedList()
	list := r.shared.Hosts.Load()
	version := r.shared.Version.Load()
	if list == nil || version == nil {
		return seeds
	}
	routers := make(map[string]bool)
	for _, host := range version.Index.Inventory.Hosts {
		routers[host.Address] = true
	}
	for _, host := range *list {
		if routers[host.Address] && host.State == hosts.StateLive {
			seeds = append(seeds, host.Address)
		}
	}
	return seeds
}

// watchVersions activates each new configuration version.
func (r *Router) watchVersions(ctx context.Context) error {
	for {
		adopted, changed := r.shared.Adopted.Watch()
		if adopted != nil {
			r.activate(adopted.Number, adopted.Inventory)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// watchMembers derives the reachable routers from the membership. During joinWindow after the start, declared hosts
// that are still unknown count as reachable: otherwise a router that knows no other router yet would refuse requests
// although another router holds tokens of their budget.
func (r *Router) watchMembers(ctx context.Context) error {
	joinTimer := time.NewTimer(joinWindow)
	defer joinTimer.Stop()
	joining := true
	for {
		members, membersChanged := r.shared.Members.Watch()
		version, versionChanged := r.shared.Version.Watch()
		var declared []inventory.Host
		if version != nil && joining {
			declared = version.Index.Inventory.Hosts
		}
		r.publishLive(members, declared)
		select {
		case <-ctx.Done():
			return nil
		case <-membersChanged:
		case <-versionChanged:
		case <-joinTimer.C:
			joining = false
		}
	}
}

// publishLive stores the addresses of this router, the live members and the declared hosts that are not known members.
func (r *Router) publishLive(members *peer.Members, declared []inventory.Host) {
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
	r.shared.Live.Store(&live)
}

// handleClaimState answers another router that asks for the state of a claim that this instance holds, with the
// recorded answer if it is small enough.
func (r *Router) handleClaimState(ctx context.Context, query wire.RequestQuery) (wire.RequestState, error) {
	ctx, cancel := context.WithTimeout(ctx, claimWaitTimeout)
	defer cancel()
	report := r.claims.Report(ctx, query.Account, query.Key, query.Nonce)
	state := wire.RequestState{
		Request:  query.Request,
		Instance: r.instance,
		State:    wire.RequestStateState(report.State),
	}
	if report.Answer == nil || len(report.Answer.Body) > maxAnswerBytes {
		return state, nil
	}
	data, err := json.Marshal(report.Answer)
	if err != nil {
		return state, trace.Wrap(err)
	}
	state.Answer = string(data)
	return state, nil
}

// queryClaim asks the instance that holds a claim for its state. It returns an error if another instance runs at that
// address now.
func (r *Router) queryClaim(ctx context.Context, instance, account, key, nonce string) (claim.Report, error) {
	address, err := instanceAddress(instance)
	if err != nil {
		return claim.Report{}, err
	}
	query := wire.RequestQuery{Account: account, Key: key, Nonce: nonce}
	state, err := r.peerClient.GetRequestState(ctx, address, query)
	if err != nil {
		return claim.Report{}, trace.Wrap(err)
	}
	if state.Instance != instance {
		return claim.Report{}, trace.NotFound("instance %s is no longer at %s", instance, address)
	}
	report := claim.Report{State: claim.ReportState(state.State)}
	if state.Answer == "" {
		return report, nil
	}
	report.Answer = &claim.Answer{}
	return report, trace.Wrap(json.Unmarshal([]byte(state.Answer), report.Answer))
}

// handleExplain answers another router with this router's explanation of a request, if there is one.
func (r *Router) handleExplain(_ context.Context, query wire.RequestQuery) (wire.RequestExplanation, error) {
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
