package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

// TestSmallClassesKeepTheirSharesWithoutNewsOfThem guards against an overloaded service whose engines refuse the requests on light routes, because instances
// admit too many others: messages had no room for classes for some seconds, and small organisations, whose counts only decayed, were forgotten.
func TestSmallClassesKeepTheirSharesWithoutNewsOfThem(t *testing.T) {
	const (
		instances, arrivals, answers = 50, 20, 2
		smallOrganisations           = 20
		period, span                 = 100 * time.Millisecond, 8 * time.Second
	)
	routes := []ClassDemand{{NewClass("heavy", 0), 0.97 * arrivals}, {NewClass("light", 0), 0.03 * arrivals}}
	organisations := []ClassDemand{{NewClass("large", 0), 0.6 * arrivals}}
	for i := range smallOrganisations {
		organisations = append(organisations, ClassDemand{NewClass(fmt.Sprint("small ", i), 0), 0.4 * arrivals / smallOrganisations})
	}
	c, now := New(), time.Unix(0, 0)
	for _, withClasses := range []bool{true, false} {
		for n := range int(span / period) {
			now = now.Add(period)
			d := Demand{Service: ident.Service("s").ID(), Arrivals: arrivals, Answers: answers, AnswerTime: answers * crowdTarget}
			if withClasses {
				d.Routes, d.Organisations = routes, organisations[:1:1]
				for i := range maxOrganisations - 1 {
					d.Organisations = append(d.Organisations, organisations[1+(n*(maxOrganisations-1)+i)%smallOrganisations])
				}
			}
			c.Merge([]Demand{d}, now)
			c.Prune(now)
		}
		admitted := 0.0
		for _, r := range routes {
			for _, o := range organisations {
				request := Request{Service: "s", Route: r.Class, Organisation: o.Class, Target: crowdTarget, Slots: crowdSlots, Instances: instances}
				admitted += c.Admit(request, now).Probability * r.Arrivals * o.Arrivals / arrivals
			}
		}
		// Answers take longer than wanted, so no more requests should be admitted than were answered.
		if admitted > answers {
			t.Errorf("classes in messages: %t: %.2f requests are admitted where %d are answered", withClasses, admitted, answers)
		}
	}
}
