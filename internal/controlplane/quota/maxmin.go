package quota

import (
	"cmp"
	"slices"
)

// maxMinFair divides an amount by weights among those who want something, none more than that: max-min fairness. What it gives never adds up
// to more than the amount.
func maxMinFair(amount Amount, wants []Amount, weights []float64) []Amount {
	gets := make([]Amount, len(wants))
	order := make([]int, 0, len(wants))
	sum := 0.0
	for i, w := range wants {
		if w > 0 {
			order = append(order, i)
			sum += weightOf(weights, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(float64(wants[a])/weightOf(weights, a), float64(wants[b])/weightOf(weights, b)), cmp.Compare(a, b))
	})
	for _, i := range order { // from the one who wants least for its weight
		if amount <= 0 {
			break
		}
		w := weightOf(weights, i)
		gets[i] = min(wants[i], amount, Amount(float64(amount)*w/sum))
		amount -= gets[i]
		sum -= w
	}
	return gets
}

func weightOf(weights []float64, i int) float64 {
	if weights == nil {
		return 1
	}
	return weights[i]
}
