package caller

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/admission"
	"citronslip/internal/delay"
	"citronslip/pkg/inventory"
)

const (
	queueTickInterval = 100 * time.Millisecond
	// plainFirstByteTarget is the target for the time to the first byte of a plain service. Its answers are not token
	// streams, so the targets of inference engines would close the queue of a slow but healthy service.
	plainFirstByteTarget = 10 * time.Second
)

type (
	// AdmissionQueues holds the admission queue of each service. Set the fields before the first use.
	AdmissionQueues struct {
		MaxWait time.Duration // Longest time that a request waits in a queue.
		Scope   tally.Scope   // Metrics; nil means none.
		Logger  *zerolog.Logger

		mu     sync.Mutex
		queues map[string]*admission.Queue // By service name.
	}
)

// Run updates all queues periodically until the context ends.
func (q *AdmissionQueues) Run(ctx context.Context) error {
	delay.Repeat(ctx, queueTickInterval, func() {
		for _, queue := range q.list() {
			queue.Tick()
		}
	})
	return nil
}

// Stats returns the state of each queue by service name.
func (q *AdmissionQueues) Stats() map[string]admission.Stats {
	result := make(map[string]admission.Stats)
	q.mu.Lock()
	defer q.mu.Unlock()
	for service, queue := range q.queues {
		result[service] = queue.Stats()
	}
	return result
}

func (q *AdmissionQueues) list() []*admission.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := make([]*admission.Queue, 0, len(q.queues))
	for _, queue := range q.queues {
		list = append(list, queue)
	}
	return list
}

func (q *AdmissionQueues) forService(service *inventory.Service) *admission.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.queues[service.Name]
	if queue != nil {
		return queue
	}
	queue = &admission.Queue{MaxWait: q.MaxWait, Logger: q.Logger}
	if q.Scope != nil {
		queue.Metrics = q.Scope.Tagged(map[string]string{"service": service.Name})
	}
	if service.Kind == inventory.KindPlain {
		queue.First = plainFirstByteTarget
	}
	if q.queues == nil {
		q.queues = make(map[string]*admission.Queue)
	}
	q.queues[service.Name] = queue
	return queue
}

// awaitAdmission waits in the queue of the call's service, unless the router stops before the request has to end.
// releaseAdmissionSlot must be called after the last attempt.
func (c *call) awaitAdmission(ctx context.Context, cost int64) *Refusal {
	if refusal := c.front.stopRefusal(ctx); refusal != nil {
		return refusal
	}
	c.startDeadline = time.Now().Add(c.front.Queues.MaxWait)
	c.queue = c.front.Queues.forService(c.index.Service(c.ruleDecision.Service))
	queuedAt := time.Now()
	slot, err := c.queue.Acquire(ctx, admission.Request{
		Account:  c.account.Name,
		Weight:   c.account.Weight,
		Priority: c.account.Priority,
		Deadline: c.startDeadline,
		Cost:     cost,
	})
	c.record.QueueTime = time.Since(queuedAt)
	if err == nil {
		c.admissionSlot = slot
		return nil
	}
	var refusedErr *admission.Refusal
	if errors.As(err, &refusedErr) {
		message := "there is no capacity for the request in time: " + string(refusedErr.Reason)
		return newRetryableRefusal(http.StatusTooManyRequests, CodeCapacity, message, refusedErr.Retry)
	}
	return newRefusal(http.StatusServiceUnavailable, CodeCapacity, "the request was given up in the queue")
}

// releaseAdmissionSlot frees the slot that awaitAdmission took, if any, and reports the tokens used.
func (c *call) releaseAdmissionSlot() {
	if c.admissionSlot != nil {
		c.admissionSlot.Release(admission.Result{Cost: c.record.Input + c.record.Output})
	}
}
