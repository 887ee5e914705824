package placing

import "math/rand/v2"

const (
	// sizeSmoothing is the weight of one prompt in the mean size of recent ones.
	sizeSmoothing = 0.02
	// smallAllowance is by how much the load of an engine exceeds the usual one before instances begin to avoid it with small prompts.
	smallAllowance = 0.5
)

// avoidance returns how much of the range between the load bound and the soft bound a request takes off its limit, from 0 to 1. Instances draw it, so that
// the probability of leaving an engine grows with its load. With MoveSmallFirst a prompt with more shared tokens than the mean leaves only at the bound:
// the next engine may have to read them again, which delays all that runs there, while the load falls as much with a small prompt.
func (t *Table) avoidance(shared int) float64 {
	if t.policy.MoveSmallFirst && float64(shared) > t.meanShared && t.meanShared > 0 {
		return 0
	}
	return rand.Float64()
}

// softLimit returns the load from which instances begin to avoid an engine whose service has the given usual load. A prompt with fewer shared tokens than
// the mean costs little elsewhere, so it evens out small differences, too.
func (t *Table) softLimit(shared int, usual float64) float64 {
	if shared > 0 && float64(shared) < t.meanShared {
		return usual + smallAllowance
	}
	return softBound*usual + softAllowance
}

// recordSize records the shared tokens of a prompt. Requests without a prompt do not count.
func (t *Table) recordSize(shared int) {
	switch {
	case shared == 0:
	case t.meanShared == 0:
		t.meanShared = float64(shared)
	default:
		t.meanShared += sizeSmoothing * (float64(shared) - t.meanShared)
	}
}
