package engine_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/engine"
)

// Guards against an unframed response that looks complete because its connection was reset while the request was being sent.
func TestResetResponseIsNotComplete(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.(*net.TCPListener).AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
				time.Sleep(20 * time.Millisecond)
				_ = conn.SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	body := make([]byte, 16<<20)
	for _, client := range []*http.Client{engine.NewEngineHTTPClient(), engine.NewHTTPClient(false)} {
		for range 20 {
			r, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/plan", bytes.NewReader(body))
			is.NoErr(err)
			response, err := (&engine.Client{HTTP: client}).Do(r)
			if err != nil {
				continue
			}
			_, err = io.ReadAll(response.Body)
			is.True(err != nil)
			_ = response.Body.Close()
		}
	}
}
