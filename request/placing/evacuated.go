package placing

import (
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/version/engines"
)

// AllEvacuated reports whether the request's service has engines, and the failure domains of all of them are evacuated.
func (r Request) AllEvacuated(all *engines.List) bool {
	list := all.OfService(r.Service)
	return len(list) > 0 && !slices.ContainsFunc(list, func(e engines.Engine) bool { return !r.Evacuated.Contains(e.Domain) })
}

// candidates returns the engines of the request's service whose failure domains are not evacuated and that can continue its stream.
func (r Request) candidates(all *engines.List) []engines.Engine {
	return r.continuing(all, r.Evacuated.Remaining(all.OfService(r.Service)))
}

// mayHold reports whether an engine that read a part of a prompt at a time may be used for it: its failure domain is not evacuated and was not since,
// as the engines of such a domain may come back empty.
func (r Request) mayHold(e engines.Engine, readAt time.Time) bool {
	return !r.Evacuated.Contains(e.Domain) && !readAt.Before(r.Evacuated.WithdrawnAt(e.Domain))
}
