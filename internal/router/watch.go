package router

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"citronslip/internal/delay"
	"citronslip/internal/engine"
	"citronslip/internal/routing"
)

const (
	hostsInterval   = time.Second
	hostsTimeout    = 2 * time.Second
	loadInterval    = 250 * time.Millisecond
	loadAge         = time.Second // Age from which a load report is refreshed by a poll.
	loadTimeout     = time.Second
	trafficInterval = time.Second
	loadPolls       = 4 // Polls per interval, which bounds a node's control traffic.
)

// watchHosts reads the host list and passes changes on to the picker.
func (r *Router) watchHosts(ctx context.Context) error {
	delay.Every(ctx, hostsInterval, func() {
		limited, cancel := context.WithTimeout(ctx, hostsTimeout)
		defer cancel()
		list, err := r.hosts.Hosts(limited)
		if err != nil {
			return
		}
		r.board.Hosts.Store(&list)
		if version := r.board.Version.Load(); version != nil {
			r.updateServers(version.Index)
		}
	})
	return nil
}

// watchLoads polls backend servers whose load reports are old. Most reports come with responses instead.
func (r *Router) watchLoads(ctx context.Context) error {
	delay.Every(ctx, loadInterval, func() {
		version := r.board.Version.Load()
		if version == nil {
			return
		}
		var group errgroup.Group
		for _, name := range r.picker.Due(loadAge, loadPolls) {
			backend := version.Index.Backend(name)
			if backend == nil {
				continue
			}
			group.Go(func() error {
				r.pollLoad(ctx, name, backend.Address)
				return nil
			})
		}
		// The polls report failures to the picker.
		_ = group.Wait()
	})
	return nil
}

func (r *Router) pollLoad(ctx context.Context, name, address string) {
	limited, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := r.engines.Load(limited, address)
	r.picker.Polled(name, loadOf(load), err == nil && load.Ready)
	r.front.Starts.Seen(name, load.Start)
	if err == nil && load.Models != nil && r.reported.put(name, heldModels(load.Models)) {
		if version := r.board.Version.Load(); version != nil {
			r.updateServers(version.Index)
		}
	}
	if err == nil && load.Leaving {
		r.picker.Leave(name)
	}
}

// watchTraffic publishes the bytes on the connections to other routers.
func (r *Router) watchTraffic(ctx context.Context) error {
	read := r.scope.Gauge("traffic_read")
	written := r.scope.Gauge("traffic_written")
	delay.Every(ctx, trafficInterval, func() {
		read.Update(float64(r.traffic.Read.Load()))
		written.Update(float64(r.traffic.Written.Load()))
	})
	return nil
}

func loadOf(load engine.Load) routing.Load {
	return routing.Load{Running: load.Running, Waiting: load.Waiting}
}
