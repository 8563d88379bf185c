package quota

import (
	"cmp"
	"slices"
)

// maxMinFair divides an amount by weights among those with demand, none of whom gets more than its demand: weighted
// max-min fairness. Nil weights are equal. What it gives never adds up to more than the amount.
func maxMinFair(amount Amount, demands []Amount, weights []float64) []Amount {
	allotted := make([]Amount, len(demands))
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
		allotted[i] = min(demands[i], amount, Amount(float64(amount)*weight/weightSum))
		amount -= allotted[i]
		weightSum -= weight
	}
	return allotted
}

func weightOf(weights []float64, i int) float64 {
	if weights == nil {
		return 1
	}
	return weights[i]
}
