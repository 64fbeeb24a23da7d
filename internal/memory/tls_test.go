package memory_test

import (
	"crypto/tls"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/memory"
)

// scarceListener is a listener that fails once because the process has no file descriptor left.
type scarceListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a listener with TLS that never accepts again after file descriptors were short for a moment, although net/http
// calls Accept again.
func TestTLSListenerAcceptsAfterTemporaryError(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	scarce := &scarceListener{Listener: listener}
	secured := &memory.TLSListener{Listener: scarce, Guard: &memory.Guard{Budget: &memory.Budget{}}, Config: &tls.Config{}}
	ended := make(chan error, 1)
	go func() {
		_, err := secured.Accept() // No handshake is completed.
		ended <- err
	}()
	for end := time.Now().Add(10 * time.Second); !scarce.failed.Load() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	select {
	case err := <-ended:
		t.Fatalf("no more connections after %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	is.NoErr(listener.Close())
	is.True(<-ended != nil)
}
