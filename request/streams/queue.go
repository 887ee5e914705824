package streams

import "sync"

// maxQueued bounds the beginnings in a queue.
const maxQueued = 8192

// Queue holds beginnings that are to be stored, at most maxQueued of them. It is safe for concurrent use; its zero value is empty.
type Queue struct {
	mu   sync.Mutex
	list []Beginning
}

// Add adds beginnings as far as there is room.
func (q *Queue) Add(list ...Beginning) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list = append(q.list, list[:min(len(list), maxQueued-len(q.list))]...)
}

// Take removes and returns all beginnings.
func (q *Queue) Take() []Beginning {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.list
	q.list = nil
	return list
}
