package main

import (
	"fmt"
	"strings"
	"sync"
)

// bookingBytes is the size of the whole answer to a booking.
const bookingBytes = 800

// sendAll sends requests at the same time, spread over the routers, and delivers all answers.
func sendAll(c *caseRun, count int, next func(int) call) <-chan []answer {
	answers, results := make([]answer, count), make(chan []answer, 1)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			cl, err := dialRouter(c.routers[i%len(c.routers)], c.record)
			if err != nil {
				answers[i].err = err
				return
			}
			answers[i] = cl.send(next(i))
		})
	}
	go func() {
		wg.Wait()
		results <- answers
	}()
	return results
}

// countCut checks MIXED: a success whose end the client has seen has the engine's whole body.
func countCut(c *caseRun, answers []answer, isWhole func(answer) bool) int {
	whole, cut, other := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.status < 200 || a.status > 299 || !a.complete:
			other++
		case isWhole(a):
			whole++
		default:
			cut++
			c.record.line("broken: %s was answered %d with the seal %q and %d bytes, %d events, as if complete", a.id, a.status, a.seal, len(a.body), a.events)
		}
	}
	c.record.line("%d answers whole, %d cut and passed on as complete, %d others", whole, cut, other)
	switch {
	case cut > 0:
		return broken
	case whole == 0:
		return unable
	}
	return held
}

func isWholeBooking(a answer) bool { return a.body == strings.Repeat("x", bookingBytes) }

// streamBody returns the whole body of a stream.
func streamBody(id string, events int) string {
	var b strings.Builder
	for i := range events {
		fmt.Fprintf(&b, "id: %d\ndata: %s/%d of %d\n\n", i+1, id, i+1, events)
	}
	return b.String()
}
