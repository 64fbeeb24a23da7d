package entry

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/dial"
	"citronslip/internal/event"
	"citronslip/internal/memory"
	"citronslip/internal/peer"
	"citronslip/internal/prepaid"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// peerTimeout bounds a call to another router and the writing of a snapshot.
	peerTimeout = 600 * time.Millisecond
	// fetchInterval is the time between two rounds of fetching rows from other routers while the store does not answer,
	// and between two reports of used tokens until one is answered.
	fetchInterval = 300 * time.Millisecond
	// minFetchStoreAge is the age of the store's last answer from which on rows are fetched from other routers.
	minFetchStoreAge = 1500 * time.Millisecond
	// maxLentTokens limits the tokens that another router may reserve at once, so that sums fit into 64 bits.
	maxLentTokens = 1 << 41
	// maxStartFetchTime is how long a router that starts tries to ask another one for the configuration.
	maxStartFetchTime = 5 * time.Second
	// maxFetchPeers is the number of routers that are asked in one round.
	maxFetchPeers = 2
	// maxFetchPeersUnanswered is the same after a round without an answer, in a deployment with evacuations. A router that
	// reaches one in ten of the others gets an answer within 7 of these rounds in 99 of 100 cases, that is within about 6 s.
	maxFetchPeersUnanswered = 6
)

var (
	// errNotLearned is returned when a router that was told of a budget row does not know the account.
	errNotLearned = errors.New("entry: the other router does not know the account")
)

type (
	// relayCache holds the rows of the store that other routers may fetch.
	relayCache struct {
		storeAge func() time.Duration     // Age of the store's last answer.
		readable func(row store.Row) bool // Whether a row is the entry of a backend server.

		mu        sync.Mutex
		directory store.Row
		config    int64 // Version of the configuration in directory, by its own count.
		servers   map[string]store.Row
		version   int64  // Version of the store up to which servers are known.
		era       int64  // Era of the store to which version belongs.
		packed    string // The servers as the field packed of an answer; empty if they have changed since.
	}

	// peerBudgets reserves tokens at other routers.
	peerBudgets struct {
		client *peer.Client
	}
)

// putDirectory keeps the row of a configuration if its version, by its own count, is newer than the one held.
func (c *relayCache) putDirectory(row store.Row, config int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if config > c.config {
		c.directory, c.config = row, config
	}
}

// applyServers applies changed rows of backend servers, or a list of all of them. Rows of other programs are not kept: a
// few large ones would exceed the size limit of an answer.
func (c *relayCache) applyServers(change store.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change.Era > c.era {
		c.era, c.version = change.Era, 0
	}
	if change.Whole || c.servers == nil {
		c.servers = make(map[string]store.Row)
	}
	c.packed = ""
	for _, row := range change.Rows {
		switch {
		case c.servers[row.Name].Version > row.Version:
		case row.Deleted || !c.readable(row):
			delete(c.servers, row.Name)
		default:
			c.servers[row.Name] = row
		}
	}
	c.version = max(c.version, change.Version)
}

// answer returns the rows that are newer than those of the router that asks.
func (c *relayCache) answer(_ context.Context, query wire.RelayQuery) (wire.RelayAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := wire.RelayAnswer{Age: int(min(c.storeAge(), time.Hour).Milliseconds()), Version: int(c.version), Era: int(c.era)}
	if c.config > int64(query.Config) {
		answer.Directory = encodeRow(c.directory)
	}
	if c.era < int64(query.Era) || c.era == int64(query.Era) && c.version <= int64(query.Servers) {
		return answer, nil
	}
	if query.Packed != nil && *query.Packed {
		packed, err := c.packServers()
		answer.Packed = &packed
		return answer, err
	}
	for _, row := range c.servers {
		answer.Servers = append(answer.Servers, *encodeRow(row))
	}
	return answer, nil
}

// packServers returns the rows of the servers as the field packed of an answer. Those of thousands of servers would
// otherwise exceed the size limit of a message. The caller holds the lock.
func (c *relayCache) packServers() (string, error) {
	if c.packed != "" {
		return c.packed, nil
	}
	data, err := store.PackRows(slices.Collect(maps.Values(c.servers)))
	if err != nil {
		return "", err
	}
	c.packed = base64.StdEncoding.EncodeToString(data)
	return c.packed, nil
}

// query returns the versions that this router has, to ask another router for newer rows.
func (c *relayCache) query() wire.RelayQuery {
	c.mu.Lock()
	defer c.mu.Unlock()
	packed := true
	return wire.RelayQuery{
		Directory: int(c.directory.Version), Servers: int(c.version), Config: int(c.config), Era: int(c.era), Packed: &packed,
	}
}

func encodeRow(row store.Row) *wire.RelayRow {
	return &wire.RelayRow{Name: row.Name, Value: base64.StdEncoding.EncodeToString(row.Value), Version: int(row.Version)}
}

// fetchRows fetches rows from other routers while the store does not answer. A router that starts asks them for the
// configuration in any case: the store may have come back from a copy that has an older one.
func (r *Router) fetchRows(ctx context.Context) error {
	asked, answered := false, true
	for delay.Sleep(ctx, fetchInterval) {
		onlyConfig := r.relayCache.storeAge() < minFetchStoreAge
		asked = asked && !r.operatorStale()
		if onlyConfig && (asked || time.Since(r.started) > maxStartFetchTime && !r.operatorStale()) {
			continue
		}
		addresses := r.ledger.PeerAddresses()
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		count := maxFetchPeers
		if !answered && r.evacuated != nil {
			count = maxFetchPeersUnanswered
		}
		answered = r.fetchRowsFromAll(ctx, addresses[:min(len(addresses), count)], onlyConfig)
		asked = asked || answered
	}
	return nil
}

// fetchRowsFromAll fetches rows from several routers at once, and reports whether one of them answered.
func (r *Router) fetchRowsFromAll(ctx context.Context, addresses []string, onlyConfig bool) bool {
	var answered atomic.Bool
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			if r.fetchRowsFrom(ctx, address, onlyConfig) {
				answered.Store(true)
			}
		})
	}
	group.Wait()
	return answered.Load()
}

// operatorStale reports whether the operator's rows are fetched from other routers although the store answers other calls.
func (r *Router) operatorStale() bool {
	return r.evacuated != nil && r.operator.Age() > maxOperatorAge
}

// fetchRowsFrom fetches rows from a router, or only its configuration, and reports whether it answered, in a deployment with
// evacuations also about these.
func (r *Router) fetchRowsFrom(ctx context.Context, address string, onlyConfig bool) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	query := r.relayCache.query()
	query.Evacuations = r.queryEvacuations()
	if onlyConfig {
		query.Era, query.Servers = math.MaxInt, math.MaxInt
	}
	answer, err := r.peers.RelayRows(ctx, address, query)
	if err != nil {
		event.RelayFailed.Log(r.Logger).Str("peer", address).Err(err).Send()
		return false
	}
	r.fetching.Lock() // One answer after the other takes effect in all parts.
	defer r.fetching.Unlock()
	r.applyRelayedEvacuations(query.Evacuations, answer.Evacuations, address)
	answered := r.tellsEvacuations(answer.Evacuations)
	if answered {
		now := time.Now()
		r.peerAnsweredAt.Store(&now)
	}
	if answer.Directory != nil {
		r.applyRelayedDirectory(*answer.Directory, address)
	}
	r.applyRelayedCrashes(answer.Crashes, address)
	if answer.Era < query.Era || answer.Era == query.Era && answer.Version <= query.Servers {
		return answered
	}
	rows, err := r.decodeServers(answer)
	if err != nil {
		event.RelayFailed.Log(r.Logger).Str("peer", address).Err(err).Send()
		return answered
	}
	if len(rows) > 0 {
		r.applyServers(store.Change{Whole: true, Rows: rows, Version: int64(answer.Version), Era: int64(answer.Era), Source: address})
	}
	return answered
}

// decodeServers returns the rows of the servers in an answer.
func (r *Router) decodeServers(answer wire.RelayAnswer) ([]store.Row, error) {
	if answer.Packed != nil {
		data, err := base64.StdEncoding.DecodeString(*answer.Packed)
		if err != nil {
			return nil, err
		}
		return store.UnpackRows(data, r.ServerTable)
	}
	rows := make([]store.Row, 0, len(answer.Servers))
	for _, w := range answer.Servers {
		row, err := decodeRow(w)
		if err != nil {
			return nil, err
		}
		row.Table = r.ServerTable
		rows = append(rows, row)
	}
	return rows, nil
}

// answerRelay returns the rows that another router asks for.
func (r *Router) answerRelay(ctx context.Context, query wire.RelayQuery) (wire.RelayAnswer, error) {
	answer, err := r.relayCache.answer(ctx, query)
	answer.Evacuations = r.answerEvacuations(query.Evacuations)
	for _, row := range r.crashes.RecentRows() {
		answer.Crashes = append(answer.Crashes, *encodeRow(row))
	}
	return answer, err
}

// applyRelayedCrashes adds crashes that another router knows.
func (r *Router) applyRelayedCrashes(rows []wire.RelayRow, address string) {
	change := store.Change{Source: address}
	for _, w := range rows {
		row, err := decodeRow(w)
		if err != nil {
			event.RelayFailed.Log(r.Logger).Str("peer", address).Err(err).Send()
			return
		}
		change.Rows = append(change.Rows, row)
	}
	if len(change.Rows) > 0 {
		r.crashes.Apply(change)
	}
}

func (r *Router) applyRelayedDirectory(w wire.RelayRow, address string) {
	row, err := decodeRow(w)
	if err != nil {
		event.RelayFailed.Log(r.Logger).Str("peer", address).Err(err).Send()
		return
	}
	row.Key = r.DirectoryKey
	r.applyDirectory(store.Change{Rows: []store.Row{row}, Source: address})
}

func decodeRow(w wire.RelayRow) (store.Row, error) {
	value, err := base64.StdEncoding.DecodeString(w.Value)
	return store.Row{Key: store.Key{Name: w.Name}, Value: value, Version: int64(w.Version)}, err
}

// servePeers serves the calls of other routers.
func (r *Router) servePeers(ctx context.Context) error {
	listener, err := dial.Listen(ctx, r.Settings.Peer)
	if err != nil {
		return err
	}
	server := &peer.Server{
		Listener: listener,
		Plain:    true, // The platform lets only routers connect to this address.
		Methods: &peer.Methods{
			Relay: r.answerRelay, Reserve: r.reserveForPeer, Settle: r.settleForPeer, Known: r.learnBudget,
			Write: r.writeForPeer,
			Take:  r.limiter.Take, Limit: r.limiter.Report, Cold: r.cold.Take, Keep: r.keepForPeer, Find: r.findForPeer,
			Reach: r.Paths.Reach,
		},
		Connections: memory.MessageConns(r.Settings.Descriptors),
		Memory:      &memory.Budget{Limit: memory.MessageBudgetOf(r.Settings.Memory)},
		Timeout:     peerTimeout,
		Logger:      r.Logger,
	}
	return server.Run(ctx)
}

// reserveForPeer reserves tokens of this router for another one.
func (r *Router) reserveForPeer(ctx context.Context, request wire.BudgetReserve) (wire.BudgetAnswer, error) {
	if len(request.Keys) != 1 || request.Bound <= 0 || request.Bound > maxLentTokens {
		return wire.BudgetAnswer{}, nil
	}
	return wire.BudgetAnswer{Done: r.ledger.ReserveForPeer(ctx, request.Attempt, request.Keys[0].Account, int64(request.Bound))}, nil
}

// settleForPeer charges the tokens that another router used of its reservation, and releases the rest.
func (r *Router) settleForPeer(_ context.Context, report wire.BudgetSettle) (wire.BudgetAnswer, error) {
	r.ledger.SettleForPeer(report.Attempt, int64(report.Used))
	return wire.BudgetAnswer{Done: true}, nil
}

// learnBudget remembers a budget row that another router has written.
func (r *Router) learnBudget(_ context.Context, known wire.PrepaidKnown) (wire.BudgetAnswer, error) {
	return wire.BudgetAnswer{Done: r.ledger.LearnBudget(known)}, nil
}

// writeForPeer sends a write of another router, which cannot reach the store.
func (r *Router) writeForPeer(ctx context.Context, write wire.PrepaidWrite) (wire.PrepaidWritten, error) {
	return r.ledger.WriteForPeer(ctx, write), nil
}

// Write sends a write to the store through another router. The error wraps prepaid.ErrPeerUnsupported or store.ErrUnavailable
// if that router certainly sent nothing.
func (b *peerBudgets) Write(ctx context.Context, address string, write wire.PrepaidWrite) (wire.PrepaidWritten, error) {
	answer, err := b.client.WriteBudget(ctx, address, write)
	switch {
	case errors.Is(err, peer.ErrUnsupported):
		err = fmt.Errorf("%w: %v", prepaid.ErrPeerUnsupported, err)
	case errors.Is(err, peer.ErrNotSent):
		err = fmt.Errorf("%w: %v", store.ErrUnavailable, err)
	}
	return answer, err
}

// Tell tells another router of a budget row. The error is nil only if that router took the changes over.
func (b *peerBudgets) Tell(ctx context.Context, address string, known wire.PrepaidKnown) error {
	answer, err := b.client.TellBudget(ctx, address, known)
	if err == nil && !answer.Done {
		return errNotLearned
	}
	return err
}

// Reserve reserves tokens at another router. The error wraps prepaid.ErrPeerTimeout if the router did not answer in
// time.
func (b *peerBudgets) Reserve(ctx context.Context, address, reservation, account string, tokens int64) (bool, error) {
	answer, err := b.client.ReserveBudget(ctx, address, wire.BudgetReserve{
		Attempt: reservation, Instance: reservation, Keys: []wire.BudgetKey{{Account: account}}, Bound: int(tokens),
	})
	if errors.Is(err, peer.ErrOutcomeUnknown) {
		return false, fmt.Errorf("%w: %v", prepaid.ErrPeerTimeout, err)
	}
	return answer.Done, err
}

// Settle reports the tokens that were used, and repeats the report until it is answered or the context ends.
func (b *peerBudgets) Settle(ctx context.Context, address, reservation, account string, used int64) error {
	report := wire.BudgetSettle{Attempt: reservation, Instance: reservation, Keys: []wire.BudgetKey{{Account: account}}, Used: int(used)}
	for {
		_, err := b.client.SettleBudget(ctx, address, report)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(fetchInterval)
	}
}

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return dial.TCP(ctx, "tcp", address)
}
