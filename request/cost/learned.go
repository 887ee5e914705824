package cost

// minStep is the least relative step of a quantile, so that it follows changes. Earlier steps are one over the number of samples.
const minStep = 0.05

type (
	// quantile follows a quantile of samples in relative steps, which need no history and resist outliers.
	quantile struct {
		value   float64
		samples int
	}

	// spread follows a low quantile, the median and a high quantile of the same samples.
	spread struct{ low, median, high quantile }

	// weightedMean is a mean in which each sample reduces the weight of the earlier ones.
	weightedMean struct{ sum, weight float64 }
)

// add moves the quantile of a probability towards a sample above 0.
func (q *quantile) add(sample, probability float64) {
	q.samples++
	step := max(1/float64(q.samples), minStep)
	switch {
	case q.samples == 1:
		q.value = sample
	case sample > q.value:
		q.value = min(q.value*(1+step*probability), sample)
	case sample < q.value:
		q.value = max(q.value*(1-step*(1-probability)), sample)
	}
}

func (s *spread) add(sample float64) {
	s.low.add(sample, lowProbability)
	s.median.add(sample, 0.5)
	s.high.add(sample, 1-lowProbability)
}

// known reports whether there are enough samples to rely on.
func (s *spread) known() bool { return s.median.samples >= minSamples }

func (m *weightedMean) add(sample, weight float64) {
	m.sum = m.sum*meanDecay + sample*weight
	m.weight = m.weight*meanDecay + weight
}

func (m *weightedMean) value() float64 {
	if m.weight <= 0 {
		return 0
	}
	return m.sum / m.weight
}
