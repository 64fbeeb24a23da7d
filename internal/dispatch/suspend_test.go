package dispatch_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/dispatch"
)

const (
	// suspendedEnv names the variable with the address of the backend server for the process that is suspended.
	suspendedEnv = "DISPATCH_TEST_BACKEND"
	// suspendedEvents is the number of events, one every suspendedInterval.
	suspendedEvents   = 50
	suspendedInterval = 100 * time.Millisecond
)

// serveSuspended serves one stream of the backend server at an address and returns a description of the response.
func serveSuspended(t *testing.T, address, path string) string {
	t.Helper()
	b := newTestDispatcher(func(ctx context.Context, _ int, a dispatch.Attempt) dispatch.Outcome {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return dispatch.NotSent{Err: err}
		}
		return dispatch.Answered{Success: true, Length: -1, Body: conn}
	})
	a := b.serveWithoutTimeout(path)
	return fmt.Sprintf("ended=%t aborted=%t sends=%d bytes=%d", a.ended, a.aborted, len(b.sends), a.body.Len())
}

// Guards against taking a server for silent because the router's own process stood still.
func TestSuspendedRouterDoesNotGiveStreamsUp(t *testing.T) {
	if address := os.Getenv(suspendedEnv); address != "" {
		fmt.Println("result:", serveSuspended(t, address, os.Getenv("DISPATCH_TEST_PATH")))
		return
	}
	for _, path := range []string{"/frail/1", "/stream/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			var conns atomic.Int32
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					conns.Add(1)
					go writePaced(conn)
				}
			}()
			child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestSuspendedRouterDoesNotGiveStreamsUp$", "-test.count=1")
			child.Env = append(os.Environ(), suspendedEnv+"="+listener.Addr().String(), "DISPATCH_TEST_PATH="+path)
			var output strings.Builder
			child.Stdout = &output
			is.NoErr(child.Start())
			for conns.Load() == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(500 * time.Millisecond)
			is.NoErr(child.Process.Signal(syscall.SIGSTOP))
			time.Sleep(3 * time.Second)
			is.NoErr(child.Process.Signal(syscall.SIGCONT))
			is.NoErr(child.Wait())
			t.Log(output.String())
			is.True(strings.Contains(output.String(), "ended=true aborted=false sends=1"))
			is.Equal(conns.Load(), int32(1))
		})
	}
}

// writePaced writes a stream of events at a steady pace.
func writePaced(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for i := range suspendedEvents {
		if _, err := conn.Write([]byte(eventText(i+1, i+1))); err != nil {
			return
		}
		time.Sleep(suspendedInterval)
	}
}
