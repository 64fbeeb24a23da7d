package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

type (
	// Request is a request of a client.
	Request struct {
		ID       string
		Method   string
		Path     string
		Key      string
		Body     string
		Deadline time.Duration
		Usage    string // Prompt tokens and maximum output tokens; empty without a prompt.
	}

	// Result is what a client has seen of a request.
	Result struct {
		Status  int // Zero without the head of an answer.
		Body    string
		Whole   bool  // Whether the answer is complete.
		Sent    bool  // Whether the whole request was written.
		Err     error // Why the answer isn't complete.
		Timeout bool  // Whether the deadline has passed.
		Close   bool  // Whether the connection can't be used again.
		Took    time.Duration
		Retry   time.Duration // Retry-After.
	}

	// Conn is a connection of a client.
	Conn struct {
		net.Conn
		reader *bufio.Reader
		Used   bool
	}
)

// host is the host name of all routes.
const host = "shop.example"

// Dial opens a connection to a router.
func Dial(address string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Do sends a request and reads the answer.
func (c *Conn) Do(r Request) (result Result) {
	start := time.Now()
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Citronslip-Request-Id: %s\r\nX-Citronslip-Deadline-Ms: %d\r\n"+
		"Authorization: Bearer %s\r\n", r.Method, r.Path, host, r.ID, r.Deadline.Milliseconds(), r.Key)
	if r.Usage != "" {
		fmt.Fprintf(&text, "X-Citronslip-Model: m\r\nX-Citronslip-Token-Usage: %s\r\nX-Citronslip-Prompt-Prefix: %s:%s\r\n",
			r.Usage, r.ID, strings.Split(r.Usage, ",")[0])
	}
	if r.Method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.Body))
	}
	text.WriteString("\r\n" + r.Body)
	_ = c.SetDeadline(start.Add(r.Deadline))
	c.Used = true
	result.Close = true
	defer func() { result.Took = time.Since(start) }()
	if _, err := c.Write(text.Bytes()); err != nil {
		result.Err = err
		return result
	}
	result.Sent = true
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		result.Err, result.Timeout = err, isTimeout(err)
		return result
	}
	result.Status = response.StatusCode
	if seconds, err := time.ParseDuration(response.Header.Get("Retry-After") + "s"); err == nil {
		result.Retry = seconds
	}
	body, err := io.ReadAll(response.Body)
	result.Body, result.Err, result.Timeout, result.Whole = string(body), err, isTimeout(err), err == nil
	result.Close = response.Close || err != nil
	return result
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
