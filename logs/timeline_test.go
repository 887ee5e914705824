package logs

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
)

const (
	firstLog = `1.05 n1 {"level":"info","ts":1000.5,"logger":"request","msg":"placed","instance":"n1","request":"r1","engine":"e1","load":3}
not a line of a log
{"level":"warn","ts":1000.6,"msg":"attempt failed","instance":"n1","request":"r1","reason":"reset"}
{"level":"info","ts":1000.7,"msg":"placed","instance":"n1","request":"r2"}
`
	secondLog = `{"level":"warn","ts":1000.55,"msg":"refused","instance":"n2","request":"r1","status":503}
`
)

func TestTimelineMergesLogsInOrder(t *testing.T) {
	timeline := NewTimeline("r1")
	for name, text := range map[string]string{"one": firstLog, "two": secondLog} {
		if err := timeline.Read(name, strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	lines, err := timeline.Lines()
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"     +0.0 ms  n1  placed  engine=e1  load=3", "    +50.0 ms  n2  refused  status=503", "   +100.0 ms  n1  attempt failed  reason=reset"}
	for i, l := range lines {
		if got := l.String(lines[0].At); got != want[i] {
			t.Errorf("line %d is %q, want %q", i, got, want[i])
		}
	}
	if len(lines) != len(want) {
		t.Fatalf("%d lines", len(lines))
	}
}

func TestTimelineErrors(t *testing.T) {
	var notLog *NotLogError
	if err := NewTimeline("r1").Read("file", strings.NewReader("hello\n{}\n")); !errors.As(err, &notLog) {
		t.Fatalf("got %v", err)
	}
	timeline := NewTimeline("r9")
	if err := timeline.Read("one", strings.NewReader(firstLog)); err != nil {
		t.Fatal(err)
	}
	var unknown *UnknownRequestError
	if _, err := timeline.Lines(); !errors.As(err, &unknown) || unknown.Lines != 3 {
		t.Fatalf("got %v", err)
	}
}

func FuzzParseLine(f *testing.F) {
	f.Add([]byte(firstLog))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if line, _, ok := parseLine(data); ok {
			_ = line.String(line.At)
		}
	})
}
