package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// RequestLogger is the name of the logger for requests. Its lines at info level are about successful requests.
	RequestLogger = "request"

	// DefaultLines is the budget in lines per second: 64 requests with four lines each.
	DefaultLines = 256
	// DefaultBytes is the budget in bytes per second, with 512 bytes per line.
	DefaultBytes = DefaultLines * 512
	// burstSeconds is the size of a burst, as seconds of the budget.
	burstSeconds = 2
	// successReserve is the share of a burst that lines about successful requests leave to other lines, so that these are dropped last.
	successReserve = 0.5
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = 5 * time.Second
	// maxBatch is the number of bytes from which no more lines are added to a batch; it is the capacity of a pipe.
	maxBatch = 64 << 10
	// queueLength is the number of lines that may wait for the reader of the output.
	queueLength = 512
)

type (
	// Budget limits the log output of a process, in lines and bytes per second.
	Budget struct{ Lines, Bytes float64 }

	// BoundedSink writes log lines without blocking the loggers. It drops and counts lines that exceed the budget or that
	// the reader does not read in time.
	BoundedSink struct {
		out   io.Writer
		lines chan *buffer.Buffer
		// mu makes checks and updates of both limiters atomic.
		mu                   sync.Mutex
		lineLimit, byteLimit *rate.Limiter
		// waiting is the number of queued lines that are not written yet.
		waiting atomic.Int64
		// The counts of dropped lines: lines about successful requests, other lines over the budget, and lines not read in time.
		sampled, overBudget, unread atomic.Int64
	}

	// boundedCore is a zapcore.Core that writes to a BoundedSink.
	boundedCore struct {
		zapcore.LevelEnabler
		encoder zapcore.Encoder
		sink    *BoundedSink
	}
)

// NewBounded returns a logger that writes JSON lines to out within a budget. It returns an error for an unknown level. The
// caller must close the BoundedSink to flush the last lines.
func NewBounded(out io.Writer, level, instance string, budget Budget) (*zap.Logger, *BoundedSink, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "log level")
	}
	b := &BoundedSink{out: out, lines: make(chan *buffer.Buffer, queueLength), lineLimit: limiter(budget.Lines), byteLimit: limiter(budget.Bytes)}
	go b.write()
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	core := &boundedCore{LevelEnabler: parsed, encoder: zapcore.NewJSONEncoder(cfg), sink: b}
	return zap.New(core).With(zap.String("instance", instance)), b, nil
}

func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond*burstSeconds))
}

// TakeDropped returns and resets the numbers of dropped lines: lines about successful requests, other lines over the budget,
// and lines not read in time.
func (b *BoundedSink) TakeDropped() (sampled, overBudget, unread int64) {
	return b.sampled.Swap(0), b.overBudget.Swap(0), b.unread.Swap(0)
}

// ReportDropped periodically logs the number of dropped lines until the returned function is called.
func (b *BoundedSink) ReportDropped(log *zap.Logger) func() {
	ticker := time.NewTicker(reportInterval)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				if sampled, overBudget, unread := b.TakeDropped(); sampled+overBudget+unread > 0 {
					log.Warn("log lines left out", zap.Int64("sampled", sampled), zap.Int64("overBudget", overBudget), zap.Int64("unread", unread))
				}
			case <-done:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
	}
}

// Close waits until the queued lines are written, but not longer than atMost. It closes nothing.
func (b *BoundedSink) Close(atMost time.Duration) {
	deadline := time.Now().Add(atMost)
	for b.waiting.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

func (b *BoundedSink) countDropped(success bool) {
	if success {
		b.sampled.Add(1)
	} else {
		b.overBudget.Add(1)
	}
}

// write writes queued lines in batches of about maxBatch bytes.
func (b *BoundedSink) write() {
	var batch []byte
	for line := range b.lines {
		batch = append(batch[:0], line.Bytes()...)
		line.Free()
		count := int64(1)
		for waiting := true; waiting && len(batch) < maxBatch; {
			select {
			case line = <-b.lines:
				batch = append(batch, line.Bytes()...)
				line.Free()
				count++
			default:
				waiting = false
			}
		}
		if _, err := b.out.Write(batch); err != nil {
			b.unread.Add(count)
		}
		b.waiting.Add(-count)
	}
}

// hasRoom reports whether the budget has room for a line, before the line is encoded.
func (b *BoundedSink) hasRoom(success bool, now time.Time) bool {
	reserve := 0.0
	if success {
		reserve = successReserve
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lineLimit.TokensAt(now)-1 >= reserve*float64(b.lineLimit.Burst()) && b.byteLimit.TokensAt(now) > reserve*float64(b.byteLimit.Burst())
}

// consume takes a line from the budget and reports whether the budget covered it.
func (b *BoundedSink) consume(bytes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lineLimit.AllowN(now, 1) && b.byteLimit.AllowN(now, bytes)
}

// With returns a core that adds fields to each line.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	clone := &boundedCore{LevelEnabler: c.LevelEnabler, encoder: c.encoder.Clone(), sink: c.sink}
	for _, f := range fields {
		f.AddTo(clone.encoder)
	}
	return clone
}

// Check adds the core if the level is enabled and the budget has room, so that dropped lines are not even encoded.
func (c *boundedCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	if !c.sink.hasRoom(isSuccess(e), time.Now()) {
		c.sink.countDropped(isSuccess(e))
		return checked
	}
	return checked.AddCore(e, c)
}

// isSuccess reports whether a line is about a successful request.
func isSuccess(e zapcore.Entry) bool {
	return e.LoggerName == RequestLogger && e.Level <= zapcore.InfoLevel
}

// Write encodes a line and queues it, or drops it if the budget or the queue has no room. It returns encoding errors.
func (c *boundedCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	line, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	if !c.sink.consume(line.Len(), time.Now()) {
		c.sink.countDropped(isSuccess(e))
		line.Free()
		return nil
	}
	c.sink.waiting.Add(1)
	select {
	case c.sink.lines <- line:
	default:
		line.Free()
		c.sink.waiting.Add(-1)
		c.sink.unread.Add(1)
	}
	return nil
}

// Sync does nothing, since the sink writes queued lines without delay.
func (c *boundedCore) Sync() error { return nil }
