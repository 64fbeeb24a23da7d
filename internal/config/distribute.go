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
	// maxPartBytes is the maximum size of the data in one response; its base64 form stays below the message limit.
	maxPartBytes = 256 << 10
	// maxCachedDiffs is the number of diffs that are kept for further callers.
	maxCachedDiffs = 4
	// replicationTimeout limits the wait for replicas before a version is activated.
	replicationTimeout = 500 * time.Millisecond
	// minReplicas is the number of peers that must hold a version before it is activated without waiting for the
	// others. One replica is left if the router and one of these peers fail.
	minReplicas = 2
	// joinQueryTimeout limits the queries of a new router, so that a peer that does not answer does not make the other
	// answers older than maxAnswerAge.
	joinQueryTimeout = 700 * time.Millisecond
	// maxJoinPeers is the number of peers that a new router queries.
	maxJoinPeers = 32
	// maxConcurrentQueries limits the concurrent calls of QueryVersions.
	maxConcurrentQueries = 32
)

type (
	// compressedDiff is the compressed difference between the inventory that a peer holds, the base, and that of a
	// version.
	compressedDiff struct {
		baseDigest    string
		versionDigest string
		prefixBytes   int
		suffixBytes   int
		compressed    []byte
	}

	// MemberVersion is the response of one member to a query for its version.
	MemberVersion struct {
		Member wire.Member
		State  wire.ConfigState
		Err    error // Non-nil if the call failed.
	}
)

// ServeConfigGet handles config.get: it returns a part of the diff from the caller's inventory to the held version. It
// refuses the call if the caller requests another version or an offset out of range.
func (c *Controller) ServeConfigGet(_ context.Context, request wire.ConfigGet) (wire.ConfigPart, error) {
	held := c.held.Load()
	if held == nil || request.Digest != "" && request.Digest != held.version.Digest {
		return wire.ConfigPart{}, &peer.RPCError{Code: peer.CodeNotFound, Text: "version not held"}
	}
	diff := c.diffFrom(held, request.Base)
	if request.Offset < 0 || request.Offset > len(diff.compressed) {
		return wire.ConfigPart{}, &peer.RPCError{Code: peer.CodeNotFound, Text: "offset beyond the data"}
	}
	part := diff.compressed[request.Offset:min(len(diff.compressed), request.Offset+maxPartBytes)]
	return wire.ConfigPart{
		Record: string(held.version.rawRecord),
		Prefix: diff.prefixBytes,
		Suffix: diff.suffixBytes,
		Total:  len(diff.compressed),
		Data:   base64.StdEncoding.EncodeToString(part),
	}, nil
}

// ServeConfigState handles config.state: it returns the numbers of the active and of the held version. If the caller
// holds a higher version, that is fetched from the caller first.
func (c *Controller) ServeConfigState(ctx context.Context, query wire.ConfigQuery) (wire.ConfigState, error) {
	if query.Number > c.heldNumber() && query.Address != "" {
		if err := c.fetchFrom(ctx, query.Address, query.Number); err != nil {
			event.ConfigFetchFailed.Log(c.Logger).Int("number", query.Number).Str("peer", query.Address).Err(err).Send()
		}
	}
	result := wire.ConfigState{Instance: c.Instance}
	if state := c.State.Load(); state != nil {
		result = *state
	}
	result.Held = c.heldNumber()
	return result, nil
}

// QueryVersions queries each member for its active version. The result has the order of the members.
func QueryVersions(ctx context.Context, client *peer.Client, members []wire.Member) []MemberVersion {
	result := make([]MemberVersion, len(members))
	slots := make(chan struct{}, maxConcurrentQueries)
	var calls sync.WaitGroup
	for i, member := range members {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			state, err := client.GetConfigState(ctx, member.Address, wire.ConfigQuery{})
			result[i] = MemberVersion{Member: member, State: state, Err: err}
		})
	}
	calls.Wait()
	return result
}

// diffFrom returns the diff from the inventory of the given digest to the held version, from the cache if possible. It
// contains the whole inventory if that base is not known.
func (c *Controller) diffFrom(held *heldVersion, baseDigest string) compressedDiff {
	v := held.version
	cached := c.diffCache.Load()
	if cached != nil {
		for _, diff := range *cached {
			if diff.baseDigest == baseDigest && diff.versionDigest == v.Digest {
				return diff
			}
		}
	}
	diff := compressedDiff{baseDigest: baseDigest, versionDigest: v.Digest}
	if baseDigest == v.ConfigRecord.Inventory {
		diff.prefixBytes = len(v.rawInventory)
	} else {
		diff.prefixBytes, diff.suffixBytes = overlapWith(held.overlaps, baseDigest, len(v.rawInventory))
	}
	diff.compressed = compress(v.rawInventory[diff.prefixBytes : len(v.rawInventory)-diff.suffixBytes])
	c.diffCache.Update(func(old *[]compressedDiff) *[]compressedDiff {
		updated := []compressedDiff{diff}
		if old != nil {
			updated = append(updated, (*old)[:min(len(*old), maxCachedDiffs-1)]...)
		}
		return &updated
	})
	return diff
}

// fetchFrom fetches the version that a peer holds. It does nothing if this router holds minNumber or a higher version
// by the time that it gets the fetch slot, and ignores a version that is not higher than the held one. It returns
// ErrFetchFailed if a call fails or the context ends, and ErrDigestMismatch if the data is malformed.
func (c *Controller) fetchFrom(ctx context.Context, address string, minNumber int) error {
	release, err := c.acquireFetchSlot(ctx)
	if err != nil {
		return err
	}
	defer release()
	if c.heldNumber() >= minNumber {
		return nil
	}
	var base []byte
	request := wire.ConfigGet{}
	if held := c.held.Load(); held != nil {
		request.Base, base = held.version.ConfigRecord.Inventory, held.version.rawInventory
	}
	part, err := c.Get(ctx, address, request)
	if err != nil {
		return trace.Wrap(ErrFetchFailed, "%v", err)
	}
	v, err := parseRecord([]byte(part.Record))
	if err != nil || v.Number <= c.heldNumber() {
		return err
	}
	request.Digest = v.Digest
	compressed, err := c.fetchRemaining(ctx, address, request, part, v.Size)
	if err != nil {
		return err
	}
	raw, err := applyDiff(base, part.Prefix, part.Suffix, v.Size, compressed)
	if err != nil {
		return err
	}
	if err := v.setInventory(raw); err != nil {
		return err
	}
	c.setHeld(v)
	return nil
}

// fetchRemaining fetches the parts that follow the first one and returns the data of all of them. It returns
// ErrDigestMismatch if the total is too large for an inventory of the given size or a part cannot be decoded.
func (c *Controller) fetchRemaining(ctx context.Context, address string, request wire.ConfigGet, part wire.ConfigPart, inventorySize int) ([]byte, error) {
	total := part.Total
	if total < 0 || total > inventorySize+inventorySize/8+1024 {
		return nil, trace.Wrap(ErrDigestMismatch, "%d compressed bytes for an inventory of %d bytes", total, inventorySize)
	}
	var compressed []byte
	for {
		data, err := base64.StdEncoding.DecodeString(part.Data)
		if err != nil {
			return nil, trace.Wrap(ErrDigestMismatch, "%v", err)
		}
		compressed = append(compressed, data...)
		if len(compressed) >= total {
			return compressed[:total], nil
		}
		if len(data) == 0 {
			return nil, trace.Wrap(ErrFetchFailed, "peer returned an empty part")
		}
		request.Offset = len(compressed)
		part, err = c.Get(ctx, address, request)
		if err != nil {
			return nil, trace.Wrap(ErrFetchFailed, "%v", err)
		}
	}
}

// replicate announces the held version to the neighbours, which fetch it before they answer. It waits until minReplicas
// of them hold it, all have answered or failed, or replicationTimeout has passed. Calls that are still running then go
// on in the background.
func (c *Controller) replicate(ctx context.Context, number int) {
	neighbours := c.neighbours()
	if len(neighbours) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	query := wire.ConfigQuery{Instance: c.Instance, Address: c.selfAddress(), Number: number}
	confirmations := make(chan bool, len(neighbours))
	var calls sync.WaitGroup
	for _, address := range neighbours {
		calls.Go(func() {
			state, err := c.Ask(callCtx, address, query)
			confirmations <- err == nil && state.Held >= number
		})
	}
	go func() {
		calls.Wait()
		cancel()
	}()
	awaitReplicas(ctx, confirmations, len(neighbours))
}

// awaitReplicas waits for minReplicas confirmations, the results of all peers, or replicationTimeout.
func awaitReplicas(ctx context.Context, confirmations <-chan bool, peers int) {
	timer := time.NewTimer(replicationTimeout)
	defer timer.Stop()
	missing := minReplicas
	for range peers {
		select {
		case confirmed := <-confirmations:
			if confirmed {
				missing--
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
		if missing == 0 {
			return
		}
	}
}

// queryPeers queries peers for their versions and fetches the highest. It returns how many peers answered and the
// highest number among their answers.
func (c *Controller) queryPeers(ctx context.Context) (answered, highest int) {
	var mu sync.Mutex
	var reached atomic.Int64
	best, bestAddress := 0, ""
	queryCtx, cancel := context.WithTimeout(ctx, joinQueryTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range c.joinCandidates() {
		calls.Go(func() {
			state, err := c.Join(queryCtx, address, wire.ConfigQuery{Instance: c.Instance})
			if err != nil {
				return
			}
			reached.Add(1)
			mu.Lock()
			defer mu.Unlock()
			if state.Held > best {
				best, bestAddress = state.Held, address
			}
		})
	}
	calls.Wait()
	if best == 0 {
		return int(reached.Load()), 0
	}
	fetchCtx, cancelFetch := context.WithTimeout(ctx, callTimeout)
	defer cancelFetch()
	if err := c.fetchFrom(fetchCtx, bestAddress, best); err != nil {
		event.ConfigFetchFailed.Log(c.Logger).Int("number", best).Str("peer", bestAddress).Err(err).Send()
	}
	return int(reached.Load()), best
}

// joinCandidates returns the addresses of the peers that a new router queries: its neighbours, to which an earlier
// instance at this address replicated its version, and others at random. The seeds are included because the membership
// may not contain them yet.
func (c *Controller) joinCandidates() []string {
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
		if len(result) >= maxJoinPeers {
			break
		}
		if address != c.selfAddress() && !slices.Contains(result, address) {
			result = append(result, address)
		}
	}
	return result
}
