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
	hostPollInterval = time.Second
	hostPollTimeout  = 2 * time.Second
	loadPollInterval = 250 * time.Millisecond
	maxLoadAge       = time.Second // Age at which a load report is refreshed by a poll.
	loadPollTimeout  = time.Second
	trafficInterval  = time.Second
	maxLoadPolls     = 4 // Maximum number of polls per loadPollInterval, which bounds the control traffic of a router.
)

// pollHosts reads the platform's host list at intervals and passes it on to the picker. After a failed read the last
// list stays.
func (r *Router) pollHosts(ctx context.Context) error {
	delay.RepeatNow(ctx, hostPollInterval, func() {
		pollCtx, cancel := context.WithTimeout(ctx, hostPollTimeout)
		defer cancel()
		list, err := r.hosts.Hosts(pollCtx)
		if err != nil {
			return
		}
		r.shared.Hosts.Store(&list)
		if version := r.shared.Version.Load(); version != nil {
			r.updateServers(version.Index)
		}
	})
	return nil
}

// pollLoads polls backend servers whose last load report is older than maxLoadAge. Under traffic, load reports arrive
// with the responses, so that few polls are needed.
func (r *Router) pollLoads(ctx context.Context) error {
	delay.RepeatNow(ctx, loadPollInterval, func() {
		version := r.shared.Version.Load()
		if version == nil {
			return
		}
		var group errgroup.Group
		for _, name := range r.picker.ServersToPoll(maxLoadAge, maxLoadPolls) {
			backend := version.Index.Backend(name)
			if backend == nil {
				continue
			}
			group.Go(func() error {
				r.pollLoad(ctx, name, backend.Address)
				return nil
			})
		}
		// pollLoad reports failures to the picker.
		_ = group.Wait()
	})
	return nil
}

// pollLoad asks a backend server for its load report and passes it on to the picker and the other parts that use it.
func (r *Router) pollLoad(ctx context.Context, name, address string) {
	pollCtx, cancel := context.WithTimeout(ctx, loadPollTimeout)
	defer cancel()
	rerouted := r.rerouted(address)
	load, err := r.engines.Load(pollCtx, address)
	if err != nil && (rerouted || r.rerouted(address)) {
		// The way to the server may have broken during the poll, or the other router ended, which says nothing about the server.
		repeatCtx, cancel := context.WithTimeout(ctx, loadPollTimeout)
		defer cancel()
		load, err = r.engines.Load(repeatCtx, address)
	}
	r.picker.RecordPoll(name, routingLoad(load), err == nil && load.Ready)
	r.front.RecordProcess(name, load)
	if err == nil && load.Models != nil && r.reportedModels.put(name, loadedModels(load.Models)) {
		if version := r.shared.Version.Load(); version != nil {
			r.updateServers(version.Index)
		}
	}
	if err == nil && load.Leaving {
		r.picker.MarkLeaving(name)
	}
}

// publishTraffic updates the metrics of the bytes read from and written to other routers.
func (r *Router) publishTraffic(ctx context.Context) error {
	read := r.scope.Gauge("traffic_read")
	written := r.scope.Gauge("traffic_written")
	delay.RepeatNow(ctx, trafficInterval, func() {
		read.Update(float64(r.traffic.Read.Load()))
		written.Update(float64(r.traffic.Written.Load()))
	})
	return nil
}

func routingLoad(load engine.Load) routing.Load {
	return routing.Load{Running: load.Running, Waiting: load.Waiting}
}
