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
	// streamLines is the number of lines that wait to be written.
	streamLines = 2048
	// dropReportInterval is the pause between lines that tell of dropped ones.
	dropReportInterval = time.Second
)

// Stream writes log lines in the background and drops them when the reader
// is slow, so that logging never waits.
type Stream struct {
	To io.Writer

	lines   chan []byte
	dropped atomic.Int64
}

// Run starts to write.
func (s *Stream) Run() {
	s.lines = make(chan []byte, streamLines)
	go s.loop()
}

// Write queues one line.
func (s *Stream) Write(b []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), b...):
	default:
		s.dropped.Add(1)
	}
	return len(b), nil
}

// Sync does nothing: lines are written as fast as they are taken.
func (s *Stream) Sync() error { return nil }

// Dropped returns the number of lines dropped since the start.
func (s *Stream) Dropped() int64 { return s.dropped.Load() }

func (s *Stream) loop() {
	reported := int64(0)
	reportedAt := time.Now()
	for l := range s.lines {
		// A line that cannot be written has nobody to be told.
		_, _ = s.To.Write(l)
		if n := s.dropped.Load(); n > reported && time.Since(reportedAt) > dropReportInterval {
			_, _ = s.To.Write([]byte(`{"level":"warn","msg":"log lines dropped","lines":` + strconv.FormatInt(n-reported, 10) + "}\n"))
			reported, reportedAt = n, time.Now()
		}
	}
}

// NewStream returns a logger that writes JSON lines to w without waiting.
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
