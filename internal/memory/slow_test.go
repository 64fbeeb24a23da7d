package memory_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/memory"
)

// costlyBytes is a reservation of which the share for costly requests has room for one.
const costlyBytes = 3 * budgetBytes / 8

// slowConn is a connection whose head arrives at once, and then a byte of its body a second until it is closed.
type slowConn struct {
	net.Conn
	head   string
	closed chan struct{}
}

func (c *slowConn) Read(p []byte) (int, error) {
	if c.head != "" {
		n := copy(p, c.head)
		c.head = c.head[n:]
		return n, nil
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-time.After(time.Second):
		p[0] = 'x'
		return 1, nil
	}
}

func (c *slowConn) Close() error {
	close(c.closed)
	return nil
}

func isClosed(closed <-chan struct{}) bool {
	select {
	case <-closed:
		return true
	default:
		return false
	}
}

// Guards against bodies that arrive so slowly that they keep the memory from others, but never stall.
func TestSlowBodyGivesMemoryBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		budget := &memory.Budget{Limit: budgetBytes}
		slow := &slowConn{head: "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n", closed: make(chan struct{})}
		conn := (&memory.Guard{Budget: budget}).Admit(slow)
		request, err := http.ReadRequest(bufio.NewReader(conn))
		is.NoErr(err)
		conn.Begin(request)
		go func() { _, _ = io.Copy(io.Discard, request.Body) }() // Ends when the connection is closed.
		time.Sleep(2500 * time.Millisecond)
		is.True(!budget.Reserve(budgetBytes))
		synctest.Wait()
		is.True(!isClosed(slow.closed)) // It has not been slow for long.
		time.Sleep(time.Second)
		is.True(budget.Reserve(costlyBytes))
		is.True(!budget.Reserve(costlyBytes))
		synctest.Wait()
		is.True(!isClosed(slow.closed)) // There is room for ordinary requests.
		is.True(!budget.Reserve(budgetBytes))
		synctest.Wait()
		is.True(isClosed(slow.closed))
	})
}

// Guards against ordinary requests that are refused although memory gets free in a moment.
func TestOrdinaryHeadWaitsForMemory(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		budget := &memory.Budget{Limit: budgetBytes}
		head := "GET / HTTP/1.1\r\nHost: h\r\n"
		conn := (&memory.Guard{Budget: budget}).Admit(&parts{data: [][]byte{[]byte(head + "\r\n")}})
		is.True(budget.Reserve(budgetBytes - budget.Used()))
		used := budget.Used()
		go func() {
			time.Sleep(100 * time.Millisecond)
			budget.Release(100 << 10)
		}()
		_, err := http.ReadRequest(bufio.NewReader(conn))
		is.NoErr(err)
		is.True(budget.Used() <= used)
		is.NoErr(conn.Close())
		costly := (&memory.Guard{Budget: budget}).Admit(&parts{data: [][]byte{[]byte(head + strings.Repeat("a:\n", 1000) + "\r\n")}})
		is.True(costly != nil)
		begin := time.Now()
		_, err = http.ReadRequest(bufio.NewReader(costly))
		is.True(err != nil)
		is.Equal(time.Since(begin), time.Duration(0)) // A costly head does not wait.
	})
}

// blockedConn is a connection whose other end sends a request and reads nothing.
type blockedConn struct {
	parts
}

func (c *blockedConn) Write([]byte) (int, error) {
	<-c.closed
	return 0, net.ErrClosed
}

// Guards against callers that do not read their responses and keep the memory of their requests from others.
func TestUnreadResponseGivesMemoryBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		budget := &memory.Budget{Limit: budgetBytes}
		closed := make(chan struct{})
		unread := &blockedConn{parts{data: [][]byte{[]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")}, closed: closed}}
		conn := (&memory.Guard{Budget: budget}).Admit(unread)
		request, err := http.ReadRequest(bufio.NewReader(conn))
		is.NoErr(err)
		conn.Begin(request)
		go func() { _, _ = io.WriteString(conn, "response") }() // Ends when the connection is closed.
		time.Sleep(2500 * time.Millisecond)
		is.True(!budget.Reserve(budgetBytes))
		synctest.Wait()
		is.True(!isClosed(closed))
		time.Sleep(time.Second)
		is.True(!budget.Reserve(budgetBytes))
		synctest.Wait()
		is.True(isClosed(closed))
	})
}
