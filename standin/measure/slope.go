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
	// Name identifies a slope in the JSON file and in the tables.
	Name string

	// Unit is the unit of the cost for each additional Per of a slope.
	Unit string

	// Sample is the mean measured cost at a size.
	Sample struct {
		Size float64 `json:"size"`
		Cost float64 `json:"cost"`
	}

	// Slope is the cost of one additional unit, from a linear fit: the cost at a size is Base + Slope × size. Per names the unit of
	// the size, Command is the command that repeats the measurement, and Spread is the largest relative deviation of a
	// measurement from the mean at its size.
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

	// Cost measures the cost at a size.
	Cost func(size int) (float64, error)
)

// Units of costs.
const (
	CPUMicros Unit = "µs CPU"
	Bytes     Unit = "bytes"
	Count     Unit = "count"
)

// fitSlope measures each size several times and fits a line. The spread is the largest relative deviation of a measurement from
// the mean at its size.
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

// processCPU returns the CPU time that this process has used so far, or 0 if it is not available.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveMemory returns the number of bytes in use by live heap objects and stacks.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
