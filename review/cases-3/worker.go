//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// worker is a stand-in of a backend server. It runs requests of streams and of a plain service.
	worker struct {
		deployment *deployment
		service    string
		version    string
		address    string
		events     int           // Events of a stream.
		gap        time.Duration // Time between two events.
		deadly     string        // Part of a prompt on which the worker crashes as it begins to write; none if empty.
		down       time.Duration // Time until it is back after a crash.
		keepsID    bool          // Whether it starts again under the ID that it had.
		// refuse returns for how long the worker wants no requests; zero if it takes the request.
		refuse func() time.Duration

		mu       sync.Mutex
		id       string
		starts   int
		sequence int
		crashed  bool
		listener net.Listener
		conns    map[net.Conn]struct{}
		stop     chan struct{}
	}

	// request is a request as a worker receives it.
	request struct {
		method, target string
		header         map[string]string
		body           []byte
	}
)

// start starts the worker and registers it.
func (w *worker) start() error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.address = listener.Addr().String()
	if w.id == "" || !w.keepsID {
		w.id = fmt.Sprintf("i-%s-%s-%d", w.service, strings.ReplaceAll(w.address, ":", "-"), w.starts)
	}
	w.listener, w.conns, w.crashed, w.stop = listener, make(map[net.Conn]struct{}), false, make(chan struct{})
	go w.beat(w.id, w.version, time.Now().UnixMilli(), w.stop)
	go w.accept(listener)
	return nil
}

// beat writes the worker's entry until the process ends. The entry goes after three silent intervals, unless the worker is back under
// the same ID. An entry that could not be written is written as soon as the store is back.
func (w *worker) beat(id, version string, born int64, stop chan struct{}) {
	const interval = 1200 * time.Millisecond
	for sequence := 1; ; sequence++ {
		written := w.deployment.store.put("servers", id, map[string]any{
			"service": w.service, "address": w.address, "zone": zone, "version": version, "slots": 64, "state": "ready",
			"coldRemainingMs": 0, "sequence": sequence, "born": born,
		})
		wait := interval
		if !written {
			wait = interval / 4
		}
		select {
		case <-stop:
			time.Sleep(3 * interval)
			w.mu.Lock()
			current := w.id
			w.mu.Unlock()
			if current != id {
				w.deployment.store.remove("servers", id)
			}
			return
		case <-time.After(wait):
		}
	}
}

func (w *worker) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = struct{}{}
		w.mu.Unlock()
		go w.serve(conn)
	}
}

// crash ends the process: its port refuses connections and its connections are reset. It comes back by itself.
func (w *worker) crash(cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return
	}
	w.crashed = true
	w.deployment.log("worker %s crashes: %s", w.id, cause)
	close(w.stop)
	_ = w.listener.Close()
	for conn := range w.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	w.restartAfter(w.down)
}

// restartAfter starts the worker again.
func (w *worker) restartAfter(wait time.Duration) {
	time.AfterFunc(wait, func() {
		if err := w.start(); err != nil {
			w.deployment.log("worker at %s did not come back: %v", w.address, err)
		}
	})
}

// upgrade ends the process as a crash does, and starts another software version under the same ID.
func (w *worker) upgrade(version string) {
	w.crash("upgrade to " + version)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = version
}

// serve serves the requests of a connection, one after the other.
func (w *worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := readRequest(reader)
		if err != nil {
			return
		}
		if !w.run(conn, r) {
			return
		}
	}
}

// readRequest reads a request as it is on the wire: its target is not decoded.
func readRequest(reader *bufio.Reader) (*request, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	target := rest[:max(strings.LastIndexByte(rest, ' '), 0)]
	r := &request{method: method, target: target, header: make(map[string]string)}
	for {
		line, err = reader.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		r.header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	length, _ := strconv.Atoi(r.header["content-length"])
	r.body = make([]byte, length)
	_, err = io.ReadFull(reader, r.body)
	return r, err
}

// run runs a request and reports whether the connection stays open.
func (w *worker) run(conn net.Conn, r *request) bool {
	id := r.header["x-citronslip-request-id"]
	head := func(status, more string) string {
		return "HTTP/1.1 " + status + "\r\nX-Citronslip-Request-Id: " + id + "\r\nX-Citronslip-Instance-Id: " + w.id +
			"\r\nX-Citronslip-Worker-Load: 1,0,64\r\n" + more + "\r\n"
	}
	if r.target == healthPath {
		_, err := io.WriteString(conn, head("200 OK", "Content-Length: 0\r\n"))
		return err == nil
	}
	if expected := r.header["x-citronslip-expect-instance"]; expected != "" && expected != w.id {
		_, err := io.WriteString(conn, head("421 Misdirected Request", "Content-Length: 0\r\n"))
		return err == nil
	}
	w.deployment.arrived(w, r)
	if w.refuse != nil {
		if pause := w.refuse(); pause > 0 {
			more := fmt.Sprintf("X-Citronslip-Not-Executed: 1\r\nRetry-After: %d\r\nContent-Length: 0\r\n", int(pause.Seconds()))
			_, err := io.WriteString(conn, head("503 Service Unavailable", more))
			return err == nil
		}
	}
	if w.deadly != "" && strings.Contains(r.header["x-citronslip-prompt-prefix"], w.deadly+":") {
		time.Sleep(30 * time.Millisecond) // The prompt is read.
		w.crash("request " + id)
		return false
	}
	signature := "X-Citronslip-Response-Signature: s-" + id + "\r\n"
	if r.header["x-citronslip-token-usage"] == "" {
		time.Sleep(15 * time.Millisecond)
		_, err := io.WriteString(conn, head("200 OK", signature+"Content-Length: 2\r\n")+"ok")
		return err == nil
	}
	time.Sleep(60 * time.Millisecond)
	if _, err := io.WriteString(conn, head("200 OK", signature+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
		return false
	}
	first, _ := strconv.Atoi(r.header["last-event-id"])
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	for event := first + 1; event <= w.events; event++ {
		text := fmt.Sprintf("id: %d\ndata: %s %s\n\n", event, version, id)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		time.Sleep(w.gap)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
