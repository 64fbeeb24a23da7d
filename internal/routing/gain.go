package routing

import (
	"cmp"
	"time"

	"citronslip/internal/rendezvous"
)

// gain fills the scratch with the cached tokens that the hints promise, the longest prefix of each server.
func (p *Picker) gain(r *Request, now time.Time) {
	prefix := r.Prefix[:min(len(r.Prefix), longestPrefix)]
	nanos := now.UnixNano()
	for i := len(prefix) - 1; i >= 0; i-- {
		h := p.hints.find(prefix[i])
		if h == nil {
			continue
		}
		for k, number := range h.servers {
			if number == 0 || h.expires[k] < nanos || p.gains[number-1] != 0 {
				continue
			}
			p.gains[number-1] = int64(i+1) * int64(p.Block)
			p.touched = append(p.touched, number-1)
		}
	}
}

// home promises part of the prefix at the server of its highest rendezvous hash, unless a hint names that server already.
// Routers that know nothing of a prefix so send it to the same server, and it takes cache memory of one server only.
func (p *Picker) home(servers []*server, r *Request) {
	if len(r.Prefix) == 0 {
		return
	}
	var found *server
	var most uint64
	for _, s := range servers {
		if s.leaving || s.circuit.state != closed || s.conf.Leaving {
			continue
		}
		hash := rendezvous.Mix(s.hash ^ cmp.Or(r.Home, r.Prefix[0]))
		if found == nil || hash > most {
			found, most = s, hash
		}
	}
	if found == nil || p.gains[found.number] != 0 {
		return
	}
	tokens := len(r.Prefix) * p.Block
	p.gains[found.number] = int64(p.Home * float64(tokens))
	p.touched = append(p.touched, found.number)
}

// forget clears the scratch.
func (p *Picker) forget() {
	for _, number := range p.touched {
		p.gains[number] = 0
	}
	p.touched = p.touched[:0]
}

// hint notes that the server holds the prefix.
func (p *Picker) hint(prefix uint64, s *server) {
	until := p.now().Add(p.HintLife)
	p.hints.add(prefix, s.number, until, p.Hints)
}
