package experiment

import (
	"container/heap"
	"slices"
	"time"

	"citronslip/internal/routing"
)

const (
	// The times are those of an engine of speed 1. A full batch with prefill takes 64 to 76 ms per iteration, so the
	// target of 73 ms between tokens is met only below a full batch.
	engineIterationTime     = 12 * time.Millisecond     // Fixed time per iteration.
	engineRequestTime       = 400 * time.Microsecond    // Time per iteration and request in the batch.
	enginePromptTokenTime   = 50 * time.Microsecond     // Time per prompt token.
	engineMaxPromptChunk    = 512                       // Maximum number of prompt tokens in one iteration.
	engineMaxBatch          = 96                        // Maximum number of requests in the batch.
	engineMaxCachedPrefixes = 24                        // Capacity of the prefix cache in shared prefixes.
	enginePrefixTokens      = routingPrefixBlocks * 256 // Prompt tokens of a shared prefix.
)

type (
	// engineJob is a request on an engine.
	engineJob struct {
		promptTokens int64 // Prompt tokens including the shared prefix.
		prefixIndex  int   // Number of the shared prefix.
		outputTokens int64
		urgent       bool

		remainingPrompt int64 // Prompt tokens still to be processed.
		cachedTokens    int64 // Prompt tokens found in the prefix cache.
		firstIteration  int64 // Iteration of the first token.
		lastIteration   int64 // Iteration of the last token.
		aborted         bool
		onFirstToken    func() // Called with the first output token.
		onDone          func() // Called after the last output token.
		onBroken        func() // Called if the engine crashes before that.
	}

	// engineJobs is a heap of jobs, ordered by their last iteration.
	engineJobs []*engineJob

	// engine simulates a model engine: continuous batching with chunked prefill, a prefix cache of limited size and two
	// priorities.
	engine struct {
		sim     *routingSim
		name    string
		speed   float64
		dead    bool
		leaving bool
		goneAt  int64 // Simulated time in ns at which it died or began to leave.

		iteration    int64           // Number of the current iteration.
		busy         bool            // Whether an iteration is running.
		waiting      [2][]*engineJob // Queue for each of the priorities 0 and 1.
		prefill      []*engineJob    // Jobs in the batch whose prompt is not yet processed.
		running      engineJobs      // Jobs in the batch that generate output.
		cache        map[int]int64   // Time of last use by shared prefix.
		outputTokens int64           // Output tokens generated.
		sharedTokens int64           // Shared-prefix tokens in the prompts of admitted jobs.
		hitTokens    int64           // Shared-prefix tokens found in the cache.
	}
)

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (j engineJobs) Len() int           { return len(j) }
func (j engineJobs) Less(a, b int) bool { return j[a].lastIteration < j[b].lastIteration }
func (j engineJobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }

// Push appends a job.
func (j *engineJobs) Push(x any) { *j = append(*j, x.(*engineJob)) }

// Pop removes the last job of the slice and returns it.
func (j *engineJobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return last
}

// submit queues a job and starts an iteration if the engine is idle.
func (e *engine) submit(j *engineJob) {
	j.remainingPrompt = j.promptTokens
	if _, ok := e.cache[j.prefixIndex]; ok {
		j.remainingPrompt = j.promptTokens - enginePrefixTokens
	}
	priority := 0
	if j.urgent {
		priority = 1
	}
	e.waiting[priority] = append(e.waiting[priority], j)
	if !e.busy {
		e.startIteration()
	}
}

// startIteration fills the batch and starts an iteration, or makes the engine idle if there is no job.
func (e *engine) startIteration() {
	e.admit()
	if len(e.running)+len(e.prefill) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	e.iteration++
	batch := len(e.running)
	prompt, prefilled := e.prefillChunk()
	duration := engineIterationTime + time.Duration(batch)*engineRequestTime + time.Duration(prompt)*enginePromptTokenTime
	duration = time.Duration(float64(duration) / e.speed)
	e.outputTokens += int64(batch) + int64(len(prefilled))
	e.sim.recordTokenGaps(duration, batch)
	e.sim.scheduleAfter(duration, func() { e.finishIteration(prefilled) })
}

// admit moves waiting jobs into the batch until it is full, urgent jobs first.
func (e *engine) admit() {
	for priority := 1; priority >= 0; priority-- {
		for len(e.waiting[priority]) > 0 && len(e.running)+len(e.prefill) < engineMaxBatch {
			j := e.waiting[priority][0]
			e.waiting[priority] = e.waiting[priority][1:]
			if j.aborted {
				continue
			}
			e.lookUpPrefix(j)
			if j.urgent {
				e.prefill = slices.Insert(e.prefill, 0, j)
				continue
			}
			e.prefill = append(e.prefill, j)
		}
	}
}

// lookUpPrefix looks up the job's prefix in the cache. It adds a missing prefix and then evicts the least recently used
// one if the cache is over its capacity.
func (e *engine) lookUpPrefix(j *engineJob) {
	e.sharedTokens += enginePrefixTokens
	j.remainingPrompt = j.promptTokens
	if _, ok := e.cache[j.prefixIndex]; ok {
		j.cachedTokens = enginePrefixTokens
		j.remainingPrompt -= enginePrefixTokens
		e.hitTokens += enginePrefixTokens
	}
	if e.cache == nil {
		e.cache = make(map[int]int64)
	}
	e.cache[j.prefixIndex] = e.sim.now
	if len(e.cache) <= engineMaxCachedPrefixes {
		return
	}
	oldest := -1
	for prefix, used := range e.cache {
		if oldest < 0 || used < e.cache[oldest] || used == e.cache[oldest] && prefix < oldest {
			oldest = prefix
		}
	}
	delete(e.cache, oldest)
}

// prefillChunk takes prompt tokens into the iteration and returns their number and the jobs whose prompt is then fully
// processed.
func (e *engine) prefillChunk() (int64, []*engineJob) {
	var taken int64
	var prefilled []*engineJob
	for len(e.prefill) > 0 && taken < engineMaxPromptChunk {
		j := e.prefill[0]
		chunk := min(j.remainingPrompt, engineMaxPromptChunk-taken)
		j.remainingPrompt -= chunk
		taken += chunk
		if j.remainingPrompt > 0 {
			break
		}
		e.prefill = e.prefill[1:]
		prefilled = append(prefilled, j)
	}
	return taken, prefilled
}

// finishIteration ends an iteration, in which every running job generated a token, and starts the next one.
func (e *engine) finishIteration(prefilled []*engineJob) {
	if e.dead {
		for _, j := range prefilled {
			j.onBroken()
		}
		return
	}
	for len(e.running) > 0 && e.running[0].lastIteration <= e.iteration {
		j := heap.Pop(&e.running).(*engineJob)
		if !j.aborted {
			j.onDone()
		}
	}
	for _, j := range prefilled {
		if j.aborted {
			continue
		}
		j.firstIteration = e.iteration
		j.lastIteration = e.iteration + j.outputTokens - 1
		j.onFirstToken()
		heap.Push(&e.running, j)
	}
	e.startIteration()
}

// crash marks the engine as dead and breaks off all its jobs.
func (e *engine) crash() {
	e.dead = true
	e.goneAt = e.sim.now
	jobs := slices.Concat(e.waiting[0], e.waiting[1], e.prefill, e.running)
	e.waiting = [2][]*engineJob{}
	e.prefill = nil
	e.running = nil
	for _, j := range jobs {
		if !j.aborted {
			j.onBroken()
		}
	}
}

// load returns the engine's current load report.
func (e *engine) load() routing.Load {
	report := routing.Load{
		Time:    e.sim.clock(),
		Running: len(e.running) + len(e.prefill),
		Waiting: len(e.waiting[0]) + len(e.waiting[1]),
	}
	for _, list := range [][]*engineJob{e.waiting[0], e.waiting[1], e.prefill} {
		for _, j := range list {
			report.Queued += j.remainingPrompt
			if j.urgent {
				report.Urgent += j.remainingPrompt
			}
		}
	}
	return report
}

// engineCapacity returns the requests per second that an engine of speed 1 serves with full batches, if half of the
// requests hit the prefix cache.
func engineCapacity() float64 {
	prompt := float64(routingMeanPromptTokens + enginePrefixTokens/2)
	request := float64(routingMeanOutputTokens) * (float64(engineIterationTime)/engineMaxBatch + float64(engineRequestTime))
	return float64(time.Second) / (request + prompt*float64(enginePromptTokenTime))
}
