package proxy

import (
	"context"
	"sync"
	"time"

	"citronslip/internal/wire"
)

const (
	// answerTestTimeout limits the opening of a connection that tests the direct way for another router, which waits for the
	// answer.
	answerTestTimeout = 250 * time.Millisecond
)

type (
	// answerTest is a test of the direct way to a server for other routers.
	answerTest struct {
		done    chan struct{} // Closed at its end.
		reached bool
	}
)

// Reach answers another router's question which servers this router reaches. Servers without a recent contact are tested.
func (p *Paths) Reach(ctx context.Context, query wire.ProxyQuery) (wire.ProxyAnswer, error) {
	answer := wire.ProxyAnswer{Address: p.Address, Place: p.Place, Reached: []string{}}
	if p.Closed != nil && p.Closed() {
		answer.Address = ""
	}
	if answer.Address == "" {
		return answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, answerTestTimeout)
	defer cancel()
	maxAge := contactTTL
	if query.MaxAge != nil {
		maxAge = min(maxAge, time.Duration(*query.MaxAge)*time.Millisecond)
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxTests)
	for _, address := range query.Servers {
		reached, known := p.reaches(address, maxAge)
		if known {
			if reached {
				mu.Lock()
				answer.Reached = append(answer.Reached, address)
				mu.Unlock()
			}
			continue
		}
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if p.testForPeer(ctx, address) {
				mu.Lock()
				defer mu.Unlock()
				answer.Reached = append(answer.Reached, address)
			}
		})
	}
	group.Wait()
	return answer, nil
}

// testForPeer tests the direct way to a server for other routers, and reports whether it works. Those that ask during a
// test share it.
func (p *Paths) testForPeer(ctx context.Context, address string) bool {
	p.mu.Lock()
	path := p.servers[address]
	if path == nil {
		p.mu.Unlock()
		return false
	}
	test := path.answerTest
	if test == nil {
		test = &answerTest{done: make(chan struct{})}
		path.answerTest = test
		go p.runAnswerTest(path, test)
	}
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-test.done:
		return test.reached
	}
}

// runAnswerTest runs a test for other routers. A failure does not count as a break of the way: a server that ended would
// otherwise be searched for by routers that do not need it.
func (p *Paths) runAnswerTest(path *serverPath, test *answerTest) {
	err := p.open(context.Background(), path.server.Address, answerTestTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	path.answerTest = nil
	if test.reached = err == nil; test.reached {
		p.restore(path)
	} else {
		path.failedAt = p.Now()
	}
	close(test.done)
}
