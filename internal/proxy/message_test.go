package proxy_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that another router changes.
func TestRequestPassesUnchanged(t *testing.T) {
	is := is.New(t)
	var got string
	c := newChain(t, func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // The comparison shows a failure.
		var b strings.Builder
		fmt.Fprintf(&b, "%s %s host=%s length=%d coding=%v body=%x\n", r.Method, r.RequestURI, r.Host, r.ContentLength, r.TransferEncoding, body)
		_ = r.Header.Write(&b) // Never fails.
		got = b.String()
	})
	body := bytes.Repeat([]byte("body\x00\xff"), 100)
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"} {
		for _, path := range []string{"/", "/a%2Fb/../c;x=%20?q=1&q=%zz&&", "/%E2%82%AC?a=b%20c+d", "/a//b"} {
			for _, data := range [][]byte{nil, body} {
				var results []string
				for _, through := range []bool{false, true} {
					c.through.Store(through)
					if through {
						c.transport.Direct.(*http.Transport).CloseIdleConnections()
					}
					request := c.request(t.Context(), method, path, "x", data)
					request.Header["Accept"] = []string{"a", "b"}
					request.Header.Set("Idempotency-Key", "k")
					request.Header["User-Agent"] = nil
					request.Header.Set("Trace", "\t x  y ")
					_, _, err := c.fetch(request)
					is.NoErr(err)
					results = append(results, got)
				}
				if results[0] != results[1] {
					t.Errorf("%s %s:\ndirect:  %s\nthrough: %s", method, path, results[0], results[1])
				}
				is.True(!strings.Contains(results[1], "Citronslip"))
				c.awaitDirect()
			}
		}
	}
	is.True(c.carried.Load() > 20)
}

// Guards against responses that another router changes, and against its headers at callers.
func TestResponsePassesUnchanged(t *testing.T) {
	const informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n"
	var raw string
	c := newChain(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The body is empty.
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		head, body, _ := strings.Cut(raw, "\r\n\r\n")
		if r.Method == http.MethodHead {
			body = ""
		}
		_, _ = io.WriteString(conn, informational+head+"\r\nConnection: close\r\n\r\n"+body) // The response shows a failure.
		_ = conn.Close()
	})
	for name, response := range map[string]string{
		"length":         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nA: 1\r\nA: 2\r\nb: c\r\nContent-Type: x\r\n\r\nabc",
		"no type":        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n<p>",
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nDate: d\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
		"empty chunked":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"unframed":       "HTTP/1.1 200 OK\r\nConnection: close\r\nX: y\r\n\r\nuntil the end",
		"unframed empty": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"empty":          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"no content":     "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
		"not modified":   "HTTP/1.1 304 Not Modified\r\nEtag: e\r\n\r\n",
		"error":          "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nContent-Length: 2\r\n\r\nno",
		"own headers":    "HTTP/1.1 200 OK\r\nCitronslip-Outcome: unsent\r\nCitronslip-Unframed: 1\r\nContent-Length: 2\r\n\r\nok",
		"unknown status": "HTTP/1.1 299 Odd\r\nContent-Length: 1\r\n\r\nx",
		"broken length":  "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc",
		"broken chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc",
		"no last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		for _, method := range []string{"POST", "HEAD"} {
			t.Run(name+" "+method, func(t *testing.T) {
				is := is.New(t)
				defer c.awaitDirect()
				raw = response
				var results []string
				for _, through := range []bool{false, true} {
					c.through.Store(through)
					got, body, err := c.fetch(c.request(t.Context(), method, "/", "x", nil))
					if got == nil {
						t.Fatalf("through %v: %v", through, err)
					}
					for header := range got.Header {
						is.True(through && !strings.HasPrefix(header, "Citronslip-") || !through)
						if strings.HasPrefix(header, "Citronslip-") || header == "Connection" {
							delete(got.Header, header)
						}
					}
					var b strings.Builder
					fmt.Fprintf(&b, "status %d length=%d chunked=%v body=%s whole=%v\n", got.StatusCode, got.ContentLength, got.TransferEncoding, body, err == nil)
					_ = got.Header.Write(&b) // Never fails.
					results = append(results, b.String())
				}
				if results[0] != results[1] {
					t.Errorf("direct:  %s\nthrough: %s", results[0], results[1])
				}
			})
		}
	}
}

// Guards against events of a stream that wait in the router in the middle for others.
func TestStreamPassesEventByEvent(t *testing.T) {
	is := is.New(t)
	next := make(chan struct{})
	c := newChain(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range 5 {
			if i > 0 {
				<-next
			}
			_, _ = fmt.Fprintf(w, "data: %d\n", i) // The caller notices a failure.
			_ = http.NewResponseController(w).Flush()
		}
	})
	response, err := c.transport.RoundTrip(c.request(t.Context(), "POST", "/", "x", nil))
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for i := range 5 {
		is.True(lines.Scan())
		is.Equal(lines.Text(), fmt.Sprintf("data: %d", i))
		if i < 4 {
			next <- struct{}{}
		}
	}
	is.True(!lines.Scan())
	is.NoErr(lines.Err())
}
