package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"citronslip/internal/budget"
	"citronslip/pkg/inventory"
)

type (
	// budgetRequest is one request of the trace. The router is chosen by routerDraw when the request arrives.
	budgetRequest struct {
		arrival      time.Duration // From the start of the run.
		keyIndex     int           // Index of the budget in the trace's keys.
		routerDraw   float64       // Random number from 0 to 1.
		actualTokens inventory.Tokens
		looseBound   inventory.Tokens // Upper bound on the tokens, by the bytes of the prompt.
		tightBound   inventory.Tokens // Upper bound on the tokens, by the engine's token count of the prompt.
		duration     time.Duration
	}

	// budgetTrace is the demand of a run, which is the same for all policies.
	budgetTrace struct {
		keys         []budget.Key
		actualDemand []inventory.Tokens // Tokens needed by all requests of each budget.
		requests     []budgetRequest    // In order of arrival.
		// routerWeights holds the cumulative shares of the routers: the load balancer does not spread requests evenly.
		routerWeights []float64
	}
)

// newBudgetTrace draws the demand of a run: Poisson arrivals for each account.
func newBudgetTrace(seed uint64, f fleet) *budgetTrace {
	rng := rand.New(rand.NewPCG(seed, 1))
	t := &budgetTrace{actualDemand: make([]inventory.Tokens, f.accounts)}
	for i := range f.accounts {
		t.keys = append(t.keys, budget.Key{Account: "account-" + strconv.Itoa(i), Budget: "main"})
	}
	for i, rate := range f.accountRates() {
		for seconds := rng.ExpFloat64() / rate; seconds < f.duration.Seconds(); seconds += rng.ExpFloat64() / rate {
			t.requests = append(t.requests, newBudgetRequest(rng, i, seconds))
		}
	}
	slices.SortFunc(t.requests, func(a, b budgetRequest) int { return int(a.arrival - b.arrival) })
	for _, r := range t.requests {
		t.actualDemand[r.keyIndex] += r.actualTokens
	}
	sum := 0.0
	for range f.routers {
		sum += 0.7 + 0.6*rng.Float64()
		t.routerWeights = append(t.routerWeights, sum)
	}
	for i := range t.routerWeights {
		t.routerWeights[i] /= sum
	}
	return t
}

// accountRates returns the requests per second of each account. The rates of the small accounts follow a power law.
func (f fleet) accountRates() []float64 {
	result := make([]float64, f.accounts)
	sum := 0.0
	for i := f.largeAccounts; i < f.accounts; i++ {
		result[i] = 1 / math.Sqrt(float64(i-f.largeAccounts+1))
		sum += result[i]
	}
	for i := range result {
		if i < f.largeAccounts {
			result[i] = f.requestRate * f.largeShare / float64(f.largeAccounts)
		} else {
			result[i] *= f.requestRate * (1 - f.largeShare) / sum
		}
	}
	return result
}

// newBudgetRequest draws the sizes of a request that arrives after the given seconds. Prompts are long-tailed, and
// outputs usually end well before their limit. The loose bound counts the bytes of the prompt, about four per token.
func newBudgetRequest(rng *rand.Rand, keyIndex int, seconds float64) budgetRequest {
	prompt := min(4000, 300*math.Exp(0.8*rng.NormFloat64()))
	output := min(1000, 250*math.Exp(0.6*rng.NormFloat64()))
	limit := min(1000, output*(1+rng.ExpFloat64()))
	return budgetRequest{
		arrival:      time.Duration(seconds * float64(time.Second)),
		keyIndex:     keyIndex,
		routerDraw:   rng.Float64(),
		actualTokens: inventory.Tokens(prompt + output),
		looseBound:   inventory.Tokens(prompt*4+limit) + 1,
		tightBound:   inventory.Tokens(prompt+limit) + 1,
		duration:     time.Duration((1 + output*0.03) * float64(time.Second)),
	}
}
