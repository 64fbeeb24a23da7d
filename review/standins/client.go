package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// Answer is what a client has got.
type Answer struct {
	Status int // Zero if the connection ended without a complete answer.
	Body   string
	Header http.Header
	Err    error
	Took   time.Duration
}

// Client is a connection of a client, kept open for many requests.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func connect(address string) *Client {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	return &Client{conn, bufio.NewReader(conn)}
}

func (c *Client) close() { _ = c.conn.Close() }

// newID returns an identity for one client attempt.
func newID(prefix string) string { return fmt.Sprintf("%s%012x", prefix, lastID.Add(1)) }

// send sends one request and waits for its answer.
func (c *Client) send(method, path, id, key string, deadline time.Duration, body string, headers ...string) Answer {
	begin := time.Now()
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Citronslip-Request-Id: %s\r\nX-Citronslip-Deadline-Ms: %d\r\n",
		method, path, siteHost, id, deadline.Milliseconds())
	if key != "" {
		fmt.Fprintf(&text, "Authorization: Bearer %s\r\n", key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&text, "%s: %s\r\n", headers[i], headers[i+1])
	}
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(begin.Add(deadline + time.Second))
	record("client: %s %s %s sent", id, method, path)
	a := c.exchange(text.String(), method)
	a.Took = time.Since(begin)
	switch {
	case a.Err != nil:
		record("client: %s no complete answer after %.3f s: %v", id, a.Took.Seconds(), a.Err)
	default:
		record("client: %s answered %d after %.3f s %q", id, a.Status, a.Took.Seconds(), firstLine(a.Body))
	}
	return a
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line[:min(len(line), 60)]
}

func (c *Client) exchange(text, method string) Answer {
	if _, err := io.WriteString(c.conn, text); err != nil {
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Err: err, Body: string(data)}
	}
	return Answer{Status: response.StatusCode, Body: string(data), Header: response.Header}
}

// timedOut reports whether the client itself has given up.
func (a Answer) timedOut() bool {
	var netErr net.Error
	return errors.As(a.Err, &netErr) && netErr.Timeout()
}
