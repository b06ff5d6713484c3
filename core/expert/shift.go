package expert

import "math"

const (
	// shiftDistance is the distance beyond sampling noise from which on Detector
	// reports a shift. Windows of the same demand are within 0.1 of each other; the
	// shifts that it is for are of 0.3 and more.
	shiftDistance = 0.12
	// shiftErrors is the number of standard errors that the distance must be above
	// the noise in addition, so that hours of unchanged demand raise no alarm.
	shiftErrors = 4.0
	// minCountsPerLayer is the mean number of counts of a layer from which on
	// Detector judges them; it collects fewer. In half as many, the noise hides most
	// shifts.
	minCountsPerLayer = 40
	// excessWeight is the weight of the latest distance in the usual excess of the
	// distances over the noise. A shift raises that by little, for a second.
	excessWeight = 1.0 / 16
	// spreadPerError is the mean absolute deviation of a normal distribution in
	// standard errors.
	spreadPerError = 0.8
)

// Detector reports sudden shifts of demand from the token counts of one rank in
// windows so short that sampling noise is a large part of their distance to the
// known demand.
//
// The counts of one rank may differ from the demand of the group by more than
// sampling noise, for example if its few requests have much in common. Detector
// learns by how much they usually do, so that it does not report that again and
// again.
type Detector struct {
	collected [][]float64 // counts not judged yet, by layer and expert; never written after construction
	excess    float64     // by which the distances usually exceed the noise
	spread    float64     // mean absolute deviation of the distances from their usual excess
}

// Finding is what Detector found in the counts that it judged.
type Finding struct {
	Shifted  bool    // Shifted reports whether the demand has shifted.
	Distance float64 // Distance is the mean of the layers' total variation distances to the known demand.
	Noise    float64 // Noise is the distance that sampling noise alone explains.
	Counts   float64 // Counts is the number of counts, or 0 if there were too few to judge.
}

// WithCounts returns the detector after a window of token counts by layer and
// expert, and what it found. The known demand has the same layers and experts.
func (d Detector) WithCounts(counts [][]float64, known []Demand) (Detector, Finding) {
	d.collected = addLayers(d.collected, counts)
	var found Finding
	variance, layers := 0.0, 0
	for i, demand := range known {
		total := sum(d.collected[i])
		if total == 0 || demand.Samples == 0 {
			continue
		}
		distance, noise, v := demand.compare(d.collected[i], total)
		found.Distance += distance
		found.Noise += noise
		found.Counts += total
		variance += v
		layers++
	}
	if found.Counts < minCountsPerLayer*float64(len(known)) {
		return d, Finding{}
	}
	found.Distance /= float64(layers)
	found.Noise /= float64(layers)
	usual := found.Noise + max(0, d.excess)
	standardError := max(math.Sqrt(variance)/float64(layers), d.spread/spreadPerError)
	found.Shifted = found.Distance > math.Hypot(usual, shiftDistance)+shiftErrors*standardError
	deviation := found.Distance - found.Noise - d.excess
	d.excess += excessWeight * deviation
	d.spread += excessWeight * (math.Abs(deviation) - d.spread)
	d.collected = nil
	return d, found
}

// WithoutCounts returns the detector without the counts that it has not judged.
func (d Detector) WithoutCounts() Detector {
	d.collected = nil
	return d
}

// addLayers returns the sum of two windows, of which the first may be nil.
func addLayers(a, b [][]float64) [][]float64 {
	if len(a) != len(b) {
		return b
	}
	added := make([][]float64, len(b))
	for i := range b {
		added[i] = make([]float64, len(b[i]))
		for e := range b[i] {
			added[i][e] = a[i][e] + b[i][e]
		}
	}
	return added
}

// compare returns the total variation distance of a window to the demand, and its
// mean and variance if only sampling noise, of the window and of the demand's own
// measurement, makes them differ. Of the tokens of an expert in both, the number in the
// window then has a binomial distribution.
func (d Demand) compare(counts []float64, total float64) (distance, noise, variance float64) {
	part := total / (total + d.Samples) // of the tokens that are in the window
	for e, count := range counts {
		both := count + d.Load[e]*d.Samples
		deviation := meanDeviation(both, part)
		distance += math.Abs(count - both*part)
		noise += deviation
		variance += both*part*(1-part) - deviation*deviation
	}
	scale := (1/total + 1/d.Samples) / 2
	return distance * scale, noise * scale, variance * scale * scale
}

// meanDeviation returns the mean absolute deviation of a binomial distribution of that
// many trials, of which each has that probability of success.
func meanDeviation(trials, probability float64) float64 {
	const large = 30 // variance from which on the normal distribution is within 0.5%
	mean := trials * probability
	if variance := mean * (1 - probability); variance >= large {
		return math.Sqrt(2 * variance / math.Pi)
	}
	below := math.Floor(mean)
	deviation := 2 * (below + 1) * math.Pow(1-probability, trials-below)
	for k := 0.0; k <= below; k++ {
		deviation *= (trials - k) / (k + 1) * probability
	}
	return deviation
}
