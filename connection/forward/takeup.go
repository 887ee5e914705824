package forward

import (
	"context"

	"github.com/vanillaroute/vanillaroute/ident"
)

// reasonUnknownVersion is why a stream is not taken up. Another version than that which began it would write what does not fit.
const reasonUnknownVersion = "it is not known at which software version the stream began"

// takenUp returns the id of the request that began the stream which this one takes up, empty if the caller does not name it, and whether it takes up one.
func (x *exchange) takenUp() (ident.Request, bool) {
	resumed := ident.Request(x.r.Header.Get(x.Names.Resumes))
	return resumed, x.route.Resumable && (resumed != "" || x.r.Header.Get(x.Names.LastEventID) != "")
}

// takeUp prepares a request that takes up a stream which an earlier attempt of its caller began: only engines of the same version may go on. It returns
// false, and sets verdict, if the version is not known.
func (x *exchange) takeUp(ctx context.Context) bool {
	resumed, takesUp := x.takenUp()
	if x.Streams == nil || !takesUp {
		return true
	}
	if version, ok := x.Streams.VersionOf(ctx, x.service, x.org, resumed); ok {
		x.continues = &version
		return true
	}
	if !x.Streams.AreSeveral(x.service) {
		return true
	}
	x.verdict = reasonUnknownVersion
	x.Metrics.Add("takeUpsRefused", 1)
	return false
}
