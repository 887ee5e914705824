package relay

import (
	"strings"

	"github.com/vanillaroute/vanillaroute/connection/engine"
)

// joinText returns the text of the first choice, joined over the events of a stream. Events without readable content are skipped.
func joinText(events [][]byte) string {
	var text strings.Builder
	for _, data := range events {
		if content, err := engine.Content(data); err == nil {
			text.WriteString(content)
		}
	}
	return text.String()
}
