package routing

import (
	"slices"
	"time"
)

const (
	// transferFixedTime is the part of a transfer that does not depend on its size: the request to the donor, and the pages
	// that the target reserves for it. It is an assumption, above the latency between two data centres, 0.5 ms.
	transferFixedTime = 5 * time.Millisecond
	// transferMargin is the number of times its duration by which a choice with a transfer must be better than the best one
	// without, as transfers cost money and the estimates are uncertain. In the play of TestPrefixTransfers a margin of 1 needed up to
	// twice as many transfers, and with 3 or 5 more tokens were prefilled again.
	transferMargin = 2
	// maxTransferCredit bounds the transfers that a router may start at once after a time without any.
	maxTransferCredit = 4
)

type (
	// transfer is a transfer of a cached prefix from a donor to the server of a request.
	transfer struct {
		donor   *server
		tokens  int64   // Tokens that the donor has beyond those of the target.
		seconds float64 // Duration, with the wait for the links of both servers.
		cached  int64   // Tokens that the target has afterwards.
	}
)

// findDonors fills the scratch space with the servers from which the prefix of the request could be fetched, those with
// the longest part first, and among these the one whose link is free first.
func (p *Picker) findDonors(group []*server, r *Request, now time.Time) {
	p.donors = p.donors[:0]
	if p.Transfers <= 0 || r.TransferTime <= 0 || r.Only != "" || p.transferCredit < 1 {
		return
	}
	for _, index := range p.expectedCachedIndexes {
		if s := p.serversByIndex[index]; s != nil && s.canDonate(r) && slices.Contains(group, s) {
			p.donors = append(p.donors, s)
		}
	}
	slices.SortStableFunc(p.donors, func(a, b *server) int {
		if order := p.expectedTokens(b, r) - p.expectedTokens(a, r); order != 0 {
			return int(order)
		}
		return maxTime(now, a.linkFreeAt).Compare(maxTime(now, b.linkFreeAt))
	})
}

// canDonate reports whether other servers may fetch prefixes from the server. One that takes no requests for a moment may
// donate: a transfer is no request, and needs none of its slots.
func (s *server) canDonate(r *Request) bool {
	return !s.leaving && !s.config.Leaving && !s.config.Evacuated && s.circuit.state == stateClosed && r.allowsPlace(s)
}

// planTransfer returns the transfer that the request would need at a server. It has no donor if there is none, or if it
// takes longer than the prefill that it saves there.
func (p *Picker) planTransfer(s *server, r *Request, e *estimate, now time.Time) transfer {
	for _, donor := range p.donors {
		if donor == s || donor.config.Software != s.config.Software {
			continue
		}
		held := p.expectedTokens(donor, r)
		tokens := held - e.cachedTokens
		begin := maxTime(now, donor.linkFreeAt, s.linkFreeAt)
		seconds := (begin.Sub(now) + transferFixedTime + time.Duration(tokens)*r.TransferTime).Seconds()
		if tokens <= 0 || float64(tokens)*e.tokenTime < seconds {
			return transfer{}
		}
		return transfer{donor: donor, tokens: tokens, seconds: seconds, cached: held}
	}
	return transfer{}
}

// improve replaces the best server by the given one if its score with the transfer is lower. The score contains the margin.
func (b *bestServer) improve(s *server, e *estimate, t transfer, noise float64) {
	saved := e.tokenScore * float64(t.tokens)
	score := (e.score - saved + e.delayScore*(1+transferMargin)*t.seconds) * noise
	if b.server == nil || score < b.score {
		firstToken := e.firstToken - e.tokenTime*float64(t.tokens) + t.seconds
		*b = bestServer{server: s, score: score, cachedTokens: t.cached, firstToken: firstToken, transfer: t}
	}
}

// recordTransfer takes the transfer out of the limit, and occupies the links of both servers.
func (c *Choice) recordTransfer(t transfer, r *Request, now time.Time) {
	p := c.picker
	c.transferable = p.Transfers > 0 && r.TransferTime > 0
	if t.donor == nil {
		return
	}
	c.donor, c.Donor = t.donor, &t.donor.config.BackendServer
	c.Expected.Fetched = t.tokens
	end := now.Add(toDuration(t.seconds))
	t.donor.linkFreeAt, c.server.linkFreeAt = end, end
	p.transferCredit--
	p.counters.transfers.Inc(1)
	p.counters.transferTokens.Inc(t.tokens)
}

// earnTransferCredit counts a request that was sent toward the limit of transfers.
func (c *Choice) earnTransferCredit() {
	if c.transferable {
		c.picker.transferCredit = min(c.picker.transferCredit+c.picker.Transfers, maxTransferCredit)
	}
}

// returnTransferCredit returns the credit of a transfer whose request was not sent.
func (c *Choice) returnTransferCredit() {
	if c.donor != nil && !c.started {
		c.picker.transferCredit++
	}
}

// expectedTokens returns the prompt tokens of the request that a server is expected to have cached.
func (p *Picker) expectedTokens(s *server, r *Request) int64 {
	return min(int64(float64(p.expectedCached[s.index])*s.cacheHitRatio), r.Prompt)
}

func maxTime(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
