package placing

import (
	"math"
	"time"
)

const (
	// reportMemory is the time constant of the weight of a report in the mean of those of its engine. It covers several reports.
	reportMemory = 3 * time.Second
	// priorReports is the weight of the mean of all engines beside the reports of one, and minReportWeight the weight from which an engine's reports
	// count towards the mean of all.
	priorReports    = 1
	minReportWeight = 0.1
)

// reportedLoads is the mean of the loads that an engine has reported lately. An engine that many requested prompts prefer, or that is slow, always has
// more requests than others.
type reportedLoads struct {
	sum, weight float64
	at          time.Time
}

func (r *reportedLoads) add(requests int, at time.Time) {
	d := r.decay(at)
	r.sum, r.weight, r.at = r.sum*d+float64(requests), r.weight*d+1, at
}

func (r *reportedLoads) decay(now time.Time) float64 {
	return math.Exp(-max(now.Sub(r.at), 0).Seconds() / reportMemory.Seconds())
}

// excess returns by how much the load of the engine usually exceeds that of all engines, whose mean report is given.
func (r *reportedLoads) excess(mean float64, now time.Time) float64 {
	d := r.decay(now)
	return d * (r.sum - r.weight*mean) / (d*r.weight + priorReports)
}

// meanReport returns the mean over engines of their mean reports.
func meanReport(states []*engineState, now time.Time) float64 {
	sum, count := 0.0, 0
	for _, s := range states {
		if r := &s.reports; r.weight*r.decay(now) >= minReportWeight {
			sum += r.sum / r.weight
			count++
		}
	}
	return sum / float64(max(count, 1))
}
