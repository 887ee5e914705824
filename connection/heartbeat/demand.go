package heartbeat

import (
	"math"

	"github.com/vanillaroute/vanillaroute/request/admission"
	"github.com/vanillaroute/vanillaroute/wire"
)

// workExtension holds the demands of a message in engine time.
type workExtension struct {
	Works []Demand
}

// workBytes returns the size of the demands in engine time.
func workBytes(m Message) int {
	if len(m.Works) == 0 {
		return 0
	}
	return len(wire.Encode(workExtension{Works: m.Works}))
}

// EncodeDemands converts demands for a message.
func EncodeDemands(list []admission.Demand) []Demand {
	return convert(list, func(d admission.Demand) Demand {
		return Demand{
			Service: d.Service, Arrivals: hundredthsOf(d.Arrivals), Answers: hundredthsOf(d.Answers), AnswerTime: MillisOf(d.AnswerTime),
			Routes: convert(d.Routes, encodeClass), Organisations: convert(d.Organisations, encodeClass),
		}
	})
}

// DecodeDemands converts the demands of a message.
func DecodeDemands(list []Demand) []admission.Demand {
	return convert(list, func(d Demand) admission.Demand {
		return admission.Demand{
			Service: d.Service, Arrivals: d.Arrivals.count(), Answers: d.Answers.count(), AnswerTime: max(d.AnswerTime, 0).Duration(),
			Routes: convert(d.Routes, decodeClass), Organisations: convert(d.Organisations, decodeClass),
		}
	})
}

// WithoutClasses returns the demands without their routes and organisations.
func WithoutClasses(list []Demand) []Demand {
	return convert(list, func(d Demand) Demand {
		d.Routes, d.Organisations = nil, nil
		return d
	})
}

func encodeClass(d admission.ClassDemand) ClassDemand {
	return ClassDemand{ID: d.Class.ID, Priority: d.Class.Priority, Arrivals: hundredthsOf(d.Arrivals)}
}

func decodeClass(d ClassDemand) admission.ClassDemand {
	return admission.ClassDemand{Class: admission.Class{ID: d.ID, Priority: d.Priority}, Arrivals: d.Arrivals.count()}
}

func convert[F, T any](list []F, each func(F) T) []T {
	converted := make([]T, len(list))
	for i, v := range list {
		converted[i] = each(v)
	}
	return converted
}

func hundredthsOf(count float64) Hundredths {
	return Hundredths(min(math.Round(100*count), math.MaxUint32))
}

func (h Hundredths) count() float64 { return float64(h) / 100 }
