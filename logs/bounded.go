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
	// RequestLogger names the logger of lines about requests; those at info level are about requests that went well.
	RequestLogger = "request"

	// DefaultLines is the budget of a second in lines: 64 requests of four lines each.
	DefaultLines = 256
	// DefaultBytes is the same in bytes, at 512 bytes a line.
	DefaultBytes = DefaultLines * 512
	// burstSeconds is how much of the budget may be saved up.
	burstSeconds = 2
	// successReserve is the part of the budget that lines about requests that went well leave to others.
	successReserve = 0.5
	// reportInterval is the pause between two counts of lines left out.
	reportInterval = 5 * time.Second
	// maxBatch is how many bytes are written at once, as many as a pipe holds.
	maxBatch = 64 << 10
	// queueLength is how many lines may wait for a reader of standard output.
	queueLength = 512
)

type (
	// Budget bounds what a process logs in a second.
	Budget struct{ Lines, Bytes float64 }

	// BoundedSink writes log lines without ever waiting for their reader; what does not fit is left out and counted.
	BoundedSink struct {
		out   io.Writer
		lines chan *buffer.Buffer
		// mu keeps the two limiters in step.
		mu                   sync.Mutex
		lineLimit, byteLimit *rate.Limiter
		// waiting counts lines that are not written yet.
		waiting atomic.Int64
		// Left out are lines about requests that went well, other lines, and lines that nobody read in time.
		sampled, overBudget, unread atomic.Int64
	}

	// boundedCore is the core of a logger on a Bounded.
	boundedCore struct {
		zapcore.LevelEnabler
		encoder zapcore.Encoder
		sink    *BoundedSink
	}
)

// NewBounded returns a logger that writes JSON lines within a budget, and fails on an unknown level; the Bounded is to be closed at the end.
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

// TakeDropped returns how many lines were left out since the last call: about requests that went well, others, and unread ones.
func (b *BoundedSink) TakeDropped() (sampled, refused, unread int64) {
	return b.sampled.Swap(0), b.overBudget.Swap(0), b.unread.Swap(0)
}

// ReportDropped logs from time to time how many lines were left out, until the function that it returns is called.
func (b *BoundedSink) ReportDropped(log *zap.Logger) func() {
	ticker := time.NewTicker(reportInterval)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				if sampled, refused, unread := b.TakeDropped(); sampled+refused+unread > 0 {
					log.Warn("log lines left out", zap.Int64("sampled", sampled), zap.Int64("overBudget", refused), zap.Int64("unread", unread))
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

// Close writes what waits, for a time at most.
func (b *BoundedSink) Close(atMost time.Duration) {
	deadline := time.Now().Add(atMost)
	for b.waiting.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

func (b *BoundedSink) countDropped(wentWell bool) {
	if wentWell {
		b.sampled.Add(1)
	} else {
		b.overBudget.Add(1)
	}
}

// write writes lines, as many at once as wait.
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

// hasRoom reports whether the budget has room for a line, before the line is made.
func (b *BoundedSink) hasRoom(wentWell bool, now time.Time) bool {
	reserve := 0.0
	if wentWell {
		reserve = successReserve
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lineLimit.TokensAt(now)-1 >= reserve*float64(b.lineLimit.Burst()) && b.byteLimit.TokensAt(now) > reserve*float64(b.byteLimit.Burst())
}

// consume takes a line from the budget, and reports whether it was within.
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

// Check adds the core where the level is logged and the budget has room, so that a line left out costs next to nothing.
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

// isSuccess reports whether a line is about a request that went well.
func isSuccess(e zapcore.Entry) bool {
	return e.LoggerName == RequestLogger && e.Level <= zapcore.InfoLevel
}

// Write encodes a line and queues it, or leaves it out.
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

// Sync does nothing, since lines are written as soon as they are read.
func (c *boundedCore) Sync() error { return nil }
