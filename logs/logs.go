// Package logs creates the loggers of a process, which write JSON lines, and
// routes the log records of the actor library into them.
package logs

import (
	"log/slog"
	"os"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/exp/zapslog"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines to standard error. The level is a
// name such as debug, info, warn or error; other names return an error.
func New(level string) (*zap.Logger, error) {
	var l zapcore.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.Wrap(err, "logs.New")
	}
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime = zapcore.ISO8601TimeEncoder
	c := zapcore.NewCore(zapcore.NewJSONEncoder(e), zapcore.Lock(os.Stderr), l)
	return zap.New(c), nil
}

// NewActorSystem returns an actor system whose log records go to l.
func NewActorSystem(l *zap.Logger) *actor.ActorSystem {
	f := func(*actor.ActorSystem) *slog.Logger {
		return slog.New(zapslog.NewHandler(l.Core()))
	}
	return actor.NewActorSystem(actor.WithLoggerFactory(f))
}
