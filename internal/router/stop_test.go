package router_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/harness"
)

// Guards against a planned stop that drops requests which it reads or whose connections it accepts at its end.
func TestPlannedStopAnswersRequestsUntilItsEnd(t *testing.T) {
	t.Parallel()
	const callers = 64
	f := start(t, harness.NewInventory(testKey, 3, 100_000_000), 1)
	var answered atomic.Int64
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() {
			for n := 0; ; n++ {
				_, err := f.chat(0, chatBody(fmt.Sprintf("plan bed %d of caller %d", n, c), 4, false))
				var failure *net.OpError
				if errors.As(err, &failure) && failure.Op == "dial" {
					return
				}
				if err != nil {
					t.Errorf("request got no complete response: %v", err)
				}
				answered.Add(1)
			}
		})
	}
	eventually(t, "requests are answered", func() bool { return answered.Load() > 5*callers })
	before := answered.Load()
	f.stops[0]()
	group.Wait()
	is.New(t).True(answered.Load() > before) // The stopping router still serves.
}

// Guards against a planned stop that takes requests late, on connections that were open before, and cuts them at its end.
func TestPlannedStopRefusesLateRequestsThatItCannotFinish(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startWith(t, harness.NewInventory(testKey, 1, 1_000_000), 1, nil, func(f *fleet) { f.grace = 8 * time.Second })
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	f.client = &http.Client{Transport: transport}
	_, err := f.chat(0, chatBody("open a connection", 1, false))
	is.NoErr(err)
	conn, err := net.Dial("tcp", f.addresses[0])
	is.NoErr(err)
	defer conn.Close()
	body := chatBody("late on a slow connection", 1, false)
	half := len(body) / 2
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		testKey, len(body), body[:half])
	is.NoErr(err)
	var stop sync.WaitGroup
	stop.Go(f.stops[0])
	time.Sleep(2 * time.Second)
	got, err := f.chat(0, chatBody("late over HTTP/2", 1, false))
	is.NoErr(err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.refusal().Error.Run, "no")
	_, err = conn.Write([]byte(body[half:]))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Citronslip-Run"), "no")
	is.True(response.Close)
	started, _, _ := f.standins.Engines["planner1"].Counts()
	is.Equal(started, 1)
	stop.Wait()
}
