package logs

import (
	"bytes"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// safeBuffer is a bytes.Buffer that is safe for concurrent use.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func TestFailuresAreDroppedLast(t *testing.T) {
	var out safeBuffer
	log, sink, err := NewBounded(&out, "info", "n1", Budget{Lines: 50, Bytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	request := log.Named(RequestLogger)
	for range 400 {
		request.Info("answered")
	}
	for range 40 {
		request.Warn("refused")
	}
	sink.Close(time.Second)
	if n := strings.Count(out.String(), `"refused"`); n != 40 {
		t.Fatalf("%d of 40 failures were logged", n)
	}
	if n := strings.Count(out.String(), `"answered"`); n < 40 || n > 60 {
		t.Fatalf("%d of 400 successes were logged", n)
	}
	sampled, overBudget, unread := sink.TakeDropped()
	if logged := int64(strings.Count(out.String(), "answered")); sampled != 400-logged || overBudget != 0 || unread != 0 {
		t.Fatalf("dropped lines: sampled %d, over budget %d, unread %d", sampled, overBudget, unread)
	}
}

func TestBudgetBoundsFailuresToo(t *testing.T) {
	var out safeBuffer
	log, sink, err := NewBounded(&out, "info", "n1", Budget{Lines: 10, Bytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		log.Warn("store lost")
	}
	sink.Close(time.Second)
	if n := strings.Count(out.String(), "\n"); n > 25 {
		t.Fatalf("%d lines with a budget of 10 a second", n)
	}
}

// TestStoppedReaderDoesNotBlockLogging guards against loggers that block when nobody reads the output, here a full pipe.
func TestStoppedReaderDoesNotBlockLogging(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reader.Close() }()
	log, sink, err := NewBounded(writer, "info", "n1", Budget{Lines: 1e6, Bytes: 1e9})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		for range 10000 {
			log.Warn("a line that is long enough to fill the pipe's buffer soon", zap.String("request", strings.Repeat("x", 200)))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocks on its reader")
	}
	if _, _, unread := sink.TakeDropped(); unread == 0 {
		t.Fatal("no line was counted as unread")
	}
	_ = writer.Close()
	_, _ = io.Copy(io.Discard, reader)
}

func TestUnknownLevelIsAnError(t *testing.T) {
	if _, _, err := NewBounded(io.Discard, "loud", "n1", Budget{}); err == nil {
		t.Fatal("no error")
	}
}
