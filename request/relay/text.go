package relay

import (
	"strings"

	"github.com/vanillaroute/vanillaroute/connection/engine"
)

// joinText joins the text of the first choice over the events of a stream.
func joinText(events [][]byte) string {
	var text strings.Builder
	for _, data := range events {
		if content, err := engine.Content(data); err == nil {
			text.WriteString(content)
		}
	}
	return text.String()
}
