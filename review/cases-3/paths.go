//go:build review3

package main

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"
)

// runPaths sends requests whose paths hold characters that the caller did not percent-encode beside an encoded slash, and compares the
// paths that the workers get with those that were sent. Without the disruption all of these characters are encoded.
func runPaths(d *deployment, trouble bool) (bool, error) {
	d.configure()
	if _, err := d.addWorkers(2, desk, "v1"); err != nil {
		return false, err
	}
	if err := d.addRouters(2); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond)
	suffixes := []string{"g\u00e4rten%2F7/2f", "terrasse|s\u00fcd%2F12/2f", "{7}%2F8/2f", "via^roma%2F3/2f", "rossi\"%2F1/2f", "plain%2F1/2f"}
	if !trouble {
		suffixes = []string{"g%C3%A4rten%2F7/2f", "terrasse%7Cs%C3%BCd%2F12/2f", "%7B7%7D%2F8/2f", "via%5Eroma%2F3/2f", "rossi%22%2F1/2f", "plain%2F1/2f"}
	}
	changed, elsewhere := 0, 0
	for i := range 2 * len(suffixes) {
		method, prefix, more := "GET", "/safe/", ""
		if i%2 == 1 {
			method, prefix, more = "POST", "/book/", "Content-Length: 0\r\n"
		}
		id, target := d.nextID(), prefix+suffixes[i/2]
		d.log("client sends request %s: %s %s", id, method, target)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		answer := d.send(ctx, d.routers[i%len(d.routers)], plainRequest(id, method, target, more), nil)
		cancel()
		d.log("client gets %d for request %s: %q, error %v", answer.status, id, answer.body, answer.err)
		for _, a := range d.arrivalsOf(func(a arrival) bool { return a.id == id }) {
			if a.request.target == target {
				continue
			}
			changed++
			d.log("request %s was sent as %q and run as %q", id, target, a.request.target)
			if !slices.Equal(segments(target), segments(a.request.target)) {
				elsewhere++
				d.log("that is another resource: %q in place of %q", segments(a.request.target), segments(target))
			}
		}
	}
	d.log("%d requests were run with a changed path, %d of them at another resource", changed, elsewhere)
	fmt.Println("run with a changed path:", changed, "at another resource:", elsewhere)
	return elsewhere > 0, nil
}

// segments returns the decoded segments of a path. Paths that differ only in how the same text is encoded have the same.
func segments(target string) []string {
	parts := strings.Split(target, "/")
	for i, part := range parts {
		if decoded, err := url.PathUnescape(part); err == nil {
			parts[i] = decoded
		}
	}
	return parts
}
