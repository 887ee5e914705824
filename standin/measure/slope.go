package measure

import (
	"math"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

type (
	// Name identifies a slope in the recorded file and in the tables.
	Name string

	// Unit is what a slope is counted in, for one more of its Per.
	Unit string

	// Sample is a measured cost at a size.
	Sample struct {
		Size float64 `json:"size"`
		Cost float64 `json:"cost"`
	}

	// Slope is the cost of one more unit, fitted over samples.
	Slope struct {
		Name    Name     `json:"name"`
		Unit    Unit     `json:"unit"`
		Per     string   `json:"per"`
		Command string   `json:"command"`
		Slope   float64  `json:"slope"`
		Base    float64  `json:"base"`
		RSquare float64  `json:"rSquare"`
		Spread  float64  `json:"spread"`
		Samples []Sample `json:"samples"`
	}

	// Cost measures the cost at one size.
	Cost func(size int) (float64, error)
)

// Units of slopes.
const (
	CPUMicros Unit = "µs CPU"
	Bytes     Unit = "bytes"
	Count     Unit = "count"
)

// fitSlope measures each size several times and fits a line; the spread is the largest part by which a repeat leaves its size's mean.
func fitSlope(s Slope, sizes []int, repeats int, cost Cost) (Slope, error) {
	var xs, ys []float64
	for _, size := range sizes {
		var costs []float64
		for range repeats {
			c, err := cost(size)
			if err != nil {
				return s, errors.Wrapf(err, "measure %s at %d", s.Name, size)
			}
			costs = append(costs, c)
			xs, ys = append(xs, float64(size)), append(ys, c)
		}
		mean := stat.Mean(costs, nil)
		s.Samples = append(s.Samples, Sample{Size: float64(size), Cost: mean})
		for _, c := range costs {
			if mean != 0 {
				s.Spread = max(s.Spread, math.Abs(c-mean)/math.Abs(mean))
			}
		}
	}
	s.Base, s.Slope = stat.LinearRegression(xs, ys, nil, false)
	s.RSquare = stat.RSquared(xs, ys, nil, s.Base, s.Slope)
	return s, nil
}

// processCPU returns the processor time that this process has used.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveMemory returns the bytes in use by live objects and stacks.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
