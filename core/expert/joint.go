package expert

import (
	"math"
	"slices"
)

const (
	// copyPrice is the part of the time of a perfectly balanced step that the first copy
	// to a rank must gain. The n-th copy must gain n^1.5 times as much: a power of 1 leaves
	// a tenth more copies to the fullest rank, or makes the plans of a group of 12 ranks
	// worse.
	copyPrice = 0.03

	maxCopyRatio = 1.5  // maximum ratio, rounded up, of a rank's copies to the mean; one more copy is allowed
	replanGain   = 0.99 // ratio of skews below which a plan made without prices replaces one that missed the target
)

// Result is a joint plan of all layers.
type Result struct {
	Layers []Layer // Layers are the planned placements.
	Skew   float64 // Skew is the highest skew of a layer before the plan, divided by its MinSkew.
	Moved  int     // Moved is the number of copies: experts that are new to a rank, over all layers and ranks.
	MaxNew int     // MaxNew is the number of copies of the rank with the most of them.
}

// PlanAll plans all layers of a group, each of which has a demand. It plans each layer as Plan does, but balances the
// copies over the ranks: a rank copies the experts of all layers one after the other, and
// the group switches when the last rank has copied all of its own. The cost of a change
// is the time that it leaves to the slowest rank, plus a price for each copy, which is
// higher at ranks with more copies. A rank gets at most 1.5 times the mean copies of all
// ranks, rounded up, and one more.
//
// A layer that misses the target is planned again without prices, when the copies of the
// other layers are known: its search then takes another way, which may lead closer to
// the target.
func PlanAll(current []Layer, demands []Demand, speeds []float64, b Bounds) Result {
	plans := make([]layerPlan, len(current))
	spent := budget{price: copyPrice, copies: make([]int, len(speeds))}
	result := Result{Layers: make([]Layer, len(current))}
	for i, d := range demands {
		plans[i] = plan(current[i], d, speeds, b, spent)
		spent = spent.withCopies(plans[i].newCounts, 1)
		result.Skew = max(result.Skew, plans[i].skew)
	}
	for i, p := range plans {
		if p.missed {
			others := spent.withCopies(p.newCounts, -1).withPrice(0)
			if again := plan(current[i], demands[i], speeds, b, others); again.reached < p.reached*replanGain && others.fits(again.newCounts) {
				plans[i], spent = again, others.withCopies(again.newCounts, 1)
			}
		}
		result.Layers[i] = plans[i].layer
	}
	result.Moved, result.MaxNew = spent.total, slices.Max(spent.copies)
	return result
}

// budget holds the copies of the layers planned so far, and prices further ones. The
// zero budget has no limit and no prices.
type budget struct {
	price  float64 // part of the balanced time that the first copy to a rank must gain
	copies []int   // copies to each rank; never written after construction
	total  int     // sum of copies
}

// withCopies returns the budget with the copies of a layer added, or removed if the sign
// is -1.
func (b budget) withCopies(newCounts []int, sign int) budget {
	b.copies = slices.Clone(b.copies)
	for r, n := range newCounts {
		b.copies[r] += sign * n
		b.total += sign * n
	}
	return b
}

// withPrice returns the budget with another price.
func (b budget) withPrice(price float64) budget {
	b.price = price
	return b
}

// maxCopies returns the maximum number of copies of a rank, given the copies of the layer
// that is being planned.
func (b budget) maxCopies(newCounts []int) int {
	total := b.total
	for _, n := range newCounts {
		total += n
	}
	return int(math.Ceil(maxCopyRatio*float64(total)/float64(len(newCounts)))) + 1
}

// fits reports whether no rank has more than its maximum.
func (b budget) fits(newCounts []int) bool {
	for r, n := range newCounts {
		if b.copies != nil && b.copies[r]+n > b.maxCopies(newCounts) {
			return false
		}
	}
	return true
}

// setPrices sets the price of another copy to each rank, given the copies of the layer
// that is being planned. The price is infinite for a rank that has its maximum.
func (b budget) setPrices(prices []float64, newCounts []int, balanced float64) {
	if b.copies == nil {
		return
	}
	most := b.maxCopies(newCounts)
	for r, n := range newCounts {
		n += b.copies[r]
		if prices[r] = b.price * balanced * float64(n+1) * math.Sqrt(float64(n+1)); n >= most {
			prices[r] = math.Inf(1)
		}
	}
}
