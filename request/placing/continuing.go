package placing

import "github.com/vanillaroute/vanillaroute/version/engines"

// continuing returns those of the engines that can continue the request's stream, if it continues one: what two versions write does not fit together.
// Engines that do not name their version may differ, unless none of the service names it.
func (r Request) continuing(all *engines.List, list []engines.Engine) []engines.Engine {
	if r.Continues == nil || (*r.Continues == "" && all.AreUnversioned(r.Service)) {
		return list
	}
	var same []engines.Engine
	for _, e := range list {
		if e.Version != "" && e.Version == *r.Continues {
			same = append(same, e)
		}
	}
	return same
}
