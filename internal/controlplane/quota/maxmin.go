package quota

import (
	"cmp"
	"slices"
)

// maxMinFair divides an amount among demands by weighted max-min fairness and returns what is allocated to each. None
// gets more than its demand, and the sum never exceeds the amount. Nil weights mean equal weights.
func maxMinFair(amount Amount, demands []Amount, weights []float64) []Amount {
	allocated := make([]Amount, len(demands))
	order := make([]int, 0, len(demands))
	weightSum := 0.0
	for i, demand := range demands {
		if demand > 0 {
			order = append(order, i)
			weightSum += weightOf(weights, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { // smallest demand for its weight first
		demandA := float64(demands[a]) / weightOf(weights, a)
		demandB := float64(demands[b]) / weightOf(weights, b)
		return cmp.Or(cmp.Compare(demandA, demandB), cmp.Compare(a, b))
	})
	for _, i := range order {
		if amount <= 0 {
			break
		}
		weight := weightOf(weights, i)
		allocated[i] = min(demands[i], amount, Amount(float64(amount)*weight/weightSum))
		amount -= allocated[i]
		weightSum -= weight
	}
	return allocated
}

func weightOf(weights []float64, i int) float64 {
	if weights == nil {
		return 1
	}
	return weights[i]
}
