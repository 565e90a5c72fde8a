package logs

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// streamLines is the number of lines that can be queued.
	streamLines = 2048
	// dropReportInterval is the shortest time between reports of dropped lines.
	dropReportInterval = time.Second
)

// Stream writes log lines in the background. It drops lines while the writer is
// slow, so that logging never blocks.
type Stream struct {
	// To is where the lines are written.
	To io.Writer

	lines   chan []byte
	dropped atomic.Int64
}

// Run starts writing in the background.
func (s *Stream) Run() {
	s.lines = make(chan []byte, streamLines)
	go s.loop()
}

// Write queues a copy of one line, or drops the line if the queue is full. It
// always reports success.
func (s *Stream) Write(b []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), b...):
	default:
		s.dropped.Add(1)
	}
	return len(b), nil
}

// Sync does nothing: it doesn't wait for queued lines.
func (s *Stream) Sync() error { return nil }

// Dropped returns the number of lines dropped so far.
func (s *Stream) Dropped() int64 { return s.dropped.Load() }

func (s *Stream) loop() {
	reported := int64(0)
	reportedAt := time.Now()
	for l := range s.lines {
		// There is no other place to report a failed write.
		_, _ = s.To.Write(l)
		if n := s.dropped.Load(); n > reported && time.Since(reportedAt) > dropReportInterval {
			_, _ = s.To.Write([]byte(`{"level":"warn","msg":"log lines dropped","lines":` + strconv.FormatInt(n-reported, 10) + "}\n"))
			reported, reportedAt = n, time.Now()
		}
	}
}

// NewStream returns a logger that writes JSON lines to w without blocking, and
// its running stream. The error is that of an unknown level.
func NewStream(w io.Writer, level string) (*zap.Logger, *Stream, error) {
	var l zapcore.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, nil, errors.Wrap(err, "logs.NewStream")
	}
	s := &Stream{To: w}
	s.Run()
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime = zapcore.EpochMillisTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(e), s, l)), s, nil
}
