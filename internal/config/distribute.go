package config

import (
	"context"
	"encoding/base64"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"citronslip/internal/event"
	"citronslip/internal/peer"
	"citronslip/internal/wire"
)

const (
	// partBytes bounds the data of one answer; its base64 form stays below the message limit.
	partBytes = 256 << 10
	// maxPacks is how many compressed parts are kept for further callers.
	maxPacks = 4
	// tellTimeout bounds the wait for peers before a version is put in force.
	tellTimeout = 500 * time.Millisecond
	// tellEnough is how many peers must hold a version before it is put in force without waiting for the others. The
	// failure of the router and one of them leaves one.
	tellEnough = 2
	// askTimeout bounds the questions of a new router, so that a silent peer does not make the other answers too old.
	askTimeout = 700 * time.Millisecond
	// maxJoin is how many peers a new router asks.
	maxJoin = 32
	// maxSpread bounds the concurrent calls of Spread.
	maxSpread = 32
)

type (
	// packing is the compressed difference between a base and a version.
	packing struct {
		base   string
		digest string
		prefix int
		suffix int
		data   []byte
	}

	// Standing is the answer of one member to the question for its version.
	Standing struct {
		Member wire.Member
		State  wire.ConfigState
		Err    error // Set if the member did not answer.
	}
)

// ServeGet answers a peer with a part of the version held here. It is the handler of config.get.
func (c *Controller) ServeGet(_ context.Context, get wire.ConfigGet) (wire.ConfigPart, error) {
	holding := c.held.Load()
	if holding == nil || get.Digest != "" && get.Digest != holding.version.Digest {
		return wire.ConfigPart{}, &peer.Refusal{Code: peer.CodeAbsent, Text: "version not held"}
	}
	p := c.pack(holding, get.Base)
	if get.Offset < 0 || get.Offset > len(p.data) {
		return wire.ConfigPart{}, &peer.Refusal{Code: peer.CodeAbsent, Text: "offset beyond the data"}
	}
	part := p.data[get.Offset:min(len(p.data), get.Offset+partBytes)]
	return wire.ConfigPart{
		Record: string(holding.version.record),
		Prefix: p.prefix,
		Suffix: p.suffix,
		Total:  len(p.data),
		Data:   base64.StdEncoding.EncodeToString(part),
	}, nil
}

// ServeVersion answers with the version in force, after it fetched a higher one of the caller. It is the handler of
// config.state.
func (c *Controller) ServeVersion(ctx context.Context, query wire.ConfigQuery) (wire.ConfigState, error) {
	if query.Number > c.number() && query.Address != "" {
		if err := c.fetch(ctx, query.Address, query.Number); err != nil {
			event.ConfigFetch.Log(c.Logger).Int("number", query.Number).Str("peer", query.Address).Err(err).Send()
		}
	}
	result := wire.ConfigState{Instance: c.Instance}
	if state := c.State.Load(); state != nil {
		result = *state
	}
	result.Held = c.number()
	return result, nil
}

// Spread asks members which version they have in force.
func Spread(ctx context.Context, client *peer.Client, members []wire.Member) []Standing {
	result := make([]Standing, len(members))
	slots := make(chan struct{}, maxSpread)
	var calls sync.WaitGroup
	for i, member := range members {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			state, err := client.Version(ctx, member.Address, wire.ConfigQuery{})
			result[i] = Standing{Member: member, State: state, Err: err}
		})
	}
	calls.Wait()
	return result
}

// pack returns the difference from the base, compressed.
func (c *Controller) pack(h *holding, base string) packing {
	v := h.version
	kept := c.packs.Load()
	if kept != nil {
		for _, p := range *kept {
			if p.base == base && p.digest == v.Digest {
				return p
			}
		}
	}
	p := packing{base: base, digest: v.Digest}
	if base == v.ConfigRecord.Inventory {
		p.prefix = len(v.body)
	} else {
		p.prefix, p.suffix = span(h.steps, base, len(v.body))
	}
	p.data = pack(v.body[p.prefix : len(v.body)-p.suffix])
	c.packs.Update(func(old *[]packing) *[]packing {
		next := []packing{p}
		if old != nil {
			next = append(next, (*old)[:min(len(*old), maxPacks-1)]...)
		}
		return &next
	})
	return p
}

// fetch takes the version of a peer unless the wanted one or a higher one is held by the time that it can.
func (c *Controller) fetch(ctx context.Context, address string, wanted int) error {
	done, err := c.turn(ctx)
	if err != nil {
		return err
	}
	defer done()
	if c.number() >= wanted {
		return nil
	}
	var base []byte
	get := wire.ConfigGet{}
	if h := c.held.Load(); h != nil {
		get.Base, base = h.version.ConfigRecord.Inventory, h.version.body
	}
	part, err := c.Get(ctx, address, get)
	if err != nil {
		return trace.Wrap(ErrFetch, "%v", err)
	}
	v, err := parseRecord([]byte(part.Record))
	if err != nil || v.Number <= c.number() {
		return err
	}
	get.Digest = v.Digest
	packed, err := c.rest(ctx, address, get, part, v.Size)
	if err != nil {
		return err
	}
	body, err := unpack(base, part.Prefix, part.Suffix, v.Size, packed)
	if err != nil {
		return err
	}
	if err := v.fill(body); err != nil {
		return err
	}
	c.hold(v)
	return nil
}

// rest collects the data, whose first part has arrived.
func (c *Controller) rest(ctx context.Context, address string, get wire.ConfigGet, part wire.ConfigPart, size int) ([]byte, error) {
	total := part.Total
	if total < 0 || total > size+size/8+1024 {
		return nil, trace.Wrap(ErrDigest, "%d bytes for an inventory of %d", total, size)
	}
	var packed []byte
	for {
		data, err := base64.StdEncoding.DecodeString(part.Data)
		if err != nil {
			return nil, trace.Wrap(ErrDigest, "%v", err)
		}
		packed = append(packed, data...)
		if len(packed) >= total {
			return packed[:total], nil
		}
		if len(data) == 0 {
			return nil, trace.Wrap(ErrFetch, "empty part")
		}
		get.Offset = len(packed)
		part, err = c.Get(ctx, address, get)
		if err != nil {
			return nil, trace.Wrap(ErrFetch, "%v", err)
		}
	}
}

// tell informs the neighbours and waits until enough of them hold the version, or none can be reached.
func (c *Controller) tell(ctx context.Context, number int) {
	neighbours := c.neighbours()
	if len(neighbours) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	query := wire.ConfigQuery{Instance: c.Instance, Address: c.address(), Number: number}
	holders := make(chan bool, len(neighbours))
	var calls sync.WaitGroup
	for _, address := range neighbours {
		calls.Go(func() {
			state, err := c.Ask(bounded, address, query)
			holders <- err == nil && state.Held >= number
		})
	}
	go func() {
		calls.Wait()
		cancel()
	}()
	await(ctx, holders, len(neighbours))
}

// await waits for enough holders.
func await(ctx context.Context, holders <-chan bool, asked int) {
	timer := time.NewTimer(tellTimeout)
	defer timer.Stop()
	enough := tellEnough
	for range asked {
		select {
		case held := <-holders:
			if held {
				enough--
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
		if enough == 0 {
			return
		}
	}
}

// join asks peers for their versions and fetches the highest. It returns how many were reached and the highest number that
// they named.
func (c *Controller) join(ctx context.Context) (answered, highest int) {
	var mu sync.Mutex
	var reached atomic.Int64
	best, source := 0, ""
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range c.candidates() {
		calls.Go(func() {
			state, err := c.Join(bounded, address, wire.ConfigQuery{Instance: c.Instance})
			if err != nil {
				return
			}
			reached.Add(1)
			mu.Lock()
			defer mu.Unlock()
			if state.Held > best {
				best, source = state.Held, address
			}
		})
	}
	calls.Wait()
	if best == 0 {
		return int(reached.Load()), 0
	}
	fetching, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	if err := c.fetch(fetching, source, best); err != nil {
		event.ConfigFetch.Log(c.Logger).Int("number", best).Str("peer", source).Err(err).Send()
	}
	return int(reached.Load()), best
}

// candidates returns the peers that a new router asks: its neighbours, who are the ones that an earlier instance under
// this address told, and others at random. The seeds are asked because the membership may not have reached them yet.
func (c *Controller) candidates() []string {
	var others []string
	if c.Seeds != nil {
		others = slices.Clone(c.Seeds())
	}
	if members := c.Members.Load(); members != nil {
		for _, member := range members.List {
			others = append(others, member.Address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	result := slices.Clone(c.neighbours())
	for _, address := range others {
		if len(result) >= maxJoin {
			break
		}
		if address != c.address() && !slices.Contains(result, address) {
			result = append(result, address)
		}
	}
	return result
}
