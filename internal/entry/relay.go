package entry

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/dial"
	"citronslip/internal/event"
	"citronslip/internal/peer"
	"citronslip/internal/prepaid"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// peerTimeout bounds a call to another router.
	peerTimeout = 600 * time.Millisecond
	// fetchInterval is the time between two questions for rows that the store does not tell.
	fetchInterval = 300 * time.Millisecond
	// fetchAge is the age of the store's last answer at which other routers are asked.
	fetchAge = 1500 * time.Millisecond
	// mostLent bounds the tokens that another router asks for at once, so that sums stay within 64 bits.
	mostLent = 1 << 41
	// fetchPeers is the number of routers asked at a time.
	fetchPeers = 2
)

type (
	// relay holds the rows that other routers may ask for.
	relay struct {
		age func() time.Duration // Age of the store's last answer.

		mu        sync.Mutex
		directory store.Row
		servers   map[string]store.Row
		version   int64 // Version of the store up to which servers are known.
	}

	// lenders asks other routers for tokens.
	lenders struct {
		client *peer.Client
	}
)

func (y *relay) putDirectory(row store.Row) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if row.Version > y.directory.Version {
		y.directory = row
	}
}

func (y *relay) putServers(change store.Change) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if change.Whole || y.servers == nil {
		y.servers = make(map[string]store.Row)
	}
	for _, row := range change.Rows {
		switch {
		case y.servers[row.Name].Version > row.Version:
		case row.Deleted:
			delete(y.servers, row.Name)
		default:
			y.servers[row.Name] = row
		}
	}
	y.version = max(y.version, change.Version)
}

// answer tells what is newer than what another router has.
func (y *relay) answer(_ context.Context, query wire.RelayQuery) (wire.RelayAnswer, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	answer := wire.RelayAnswer{Age: int(min(y.age(), time.Hour).Milliseconds()), Version: int(y.version)}
	if y.directory.Version > int64(query.Directory) {
		answer.Directory = relayRow(y.directory)
	}
	if y.version > int64(query.Servers) {
		for _, row := range y.servers {
			answer.Servers = append(answer.Servers, *relayRow(row))
		}
	}
	return answer, nil
}

func (y *relay) query() wire.RelayQuery {
	y.mu.Lock()
	defer y.mu.Unlock()
	return wire.RelayQuery{Directory: int(y.directory.Version), Servers: int(y.version)}
}

func relayRow(row store.Row) *wire.RelayRow {
	return &wire.RelayRow{Name: row.Name, Value: base64.StdEncoding.EncodeToString(row.Value), Version: int(row.Version)}
}

// fetch asks other routers for rows while the store is away.
func (r *Router) fetch(ctx context.Context) error {
	for delay.For(ctx, fetchInterval) {
		if r.relay.age() < fetchAge {
			continue
		}
		addresses := r.ledger.Addresses()
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		for _, address := range addresses[:min(len(addresses), fetchPeers)] {
			r.fetchFrom(ctx, address)
		}
	}
	return nil
}

func (r *Router) fetchFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	query := r.relay.query()
	answer, err := r.peers.Relay(ctx, address, query)
	if err != nil {
		event.RelayFailed.Log(r.Logger).Str("peer", address).Err(err).Send()
		return
	}
	if answer.Directory != nil {
		r.takeRelayed(*answer.Directory, address)
	}
	if answer.Version <= query.Servers || len(answer.Servers) == 0 {
		return
	}
	change := store.Change{Whole: true, Version: int64(answer.Version), Source: address}
	for _, w := range answer.Servers {
		row, err := storeRow(w)
		if err != nil {
			event.RelayFailed.Log(r.Logger).Str("peer", address).Err(err).Send()
			return
		}
		row.Table = r.ServerTable
		change.Rows = append(change.Rows, row)
	}
	r.takeServers(change)
}

func (r *Router) takeRelayed(w wire.RelayRow, address string) {
	row, err := storeRow(w)
	if err != nil {
		event.RelayFailed.Log(r.Logger).Str("peer", address).Err(err).Send()
		return
	}
	row.Key = r.DirectoryKey
	r.takeDirectory(store.Change{Rows: []store.Row{row}, Source: address})
}

func storeRow(w wire.RelayRow) (store.Row, error) {
	value, err := base64.StdEncoding.DecodeString(w.Value)
	return store.Row{Key: store.Key{Name: w.Name}, Value: value, Version: int64(w.Version)}, err
}

// servePeers answers other routers.
func (r *Router) servePeers(ctx context.Context) error {
	listener, err := dial.Listen(ctx, r.Settings.Peer)
	if err != nil {
		return err
	}
	server := &peer.Server{
		Listener: listener,
		Plain:    true, // The platform lets only routers reach this address.
		Methods:  &peer.Methods{Relay: r.relay.answer, Reserve: r.lend, Settle: r.repay},
		Timeout:  peerTimeout,
		Logger:   r.Logger,
	}
	return server.Run(ctx)
}

func (r *Router) lend(ctx context.Context, ask wire.BudgetReserve) (wire.BudgetAnswer, error) {
	if len(ask.Keys) != 1 || ask.Bound <= 0 || ask.Bound > mostLent {
		return wire.BudgetAnswer{}, nil
	}
	return wire.BudgetAnswer{Done: r.ledger.Lend(ctx, ask.Attempt, ask.Keys[0].Account, int64(ask.Bound))}, nil
}

func (r *Router) repay(_ context.Context, used wire.BudgetSettle) (wire.BudgetAnswer, error) {
	r.ledger.Repay(used.Attempt, int64(used.Used))
	return wire.BudgetAnswer{Done: true}, nil
}

// Reserve asks a router for tokens.
func (b *lenders) Reserve(ctx context.Context, address, name, account string, tokens int64) (bool, error) {
	answer, err := b.client.Reserve(ctx, address, wire.BudgetReserve{
		Attempt: name, Instance: name, Keys: []wire.BudgetKey{{Account: account}}, Bound: int(tokens),
	})
	if errors.Is(err, peer.ErrUnknown) {
		return false, fmt.Errorf("%w: %v", prepaid.ErrNoAnswer, err)
	}
	return answer.Done, err
}

// Settle reports what was used, again until it is answered.
func (b *lenders) Settle(ctx context.Context, address, name, account string, used int64) error {
	report := wire.BudgetSettle{Attempt: name, Instance: name, Keys: []wire.BudgetKey{{Account: account}}, Used: int(used)}
	for {
		_, err := b.client.Settle(ctx, address, report)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(fetchInterval)
	}
}

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return dial.TCP(ctx, "tcp", address)
}
