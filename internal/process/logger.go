package process

import (
	"io"
	"log/slog"
	"strings"

	"github.com/pkg/errors"
)

// LogFormat is how log records are written.
type LogFormat string

// The formats of a log.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

var (
	// ErrLogLevel says that a log level has an unknown name.
	ErrLogLevel = errors.New("process: unknown log level (allowed: debug, info, warn, error)")
	// ErrLogFormat says that a log format has an unknown name.
	ErrLogFormat = errors.New("process: unknown log format (allowed: text, json)")
)

// NewLogger returns a logger that writes records of the named level and above to w. It fails with ErrLogLevel or
// ErrLogFormat.
func NewLogger(level string, format LogFormat, w io.Writer) (*slog.Logger, error) {
	parsed, err := parseLevel(level)
	if err != nil {
		return nil, err
	}
	options := &slog.HandlerOptions{Level: parsed, ReplaceAttr: plainErrors}
	switch format {
	case LogText:
		return slog.New(slog.NewTextHandler(w, options)), nil
	case LogJSON:
		return slog.New(slog.NewJSONHandler(w, options)), nil
	default:
		return nil, errors.Wrapf(ErrLogFormat, "%q", string(format))
	}
}

// plainErrors writes an error as its message: the stack that pkg/errors keeps would make each record a page long.
func plainErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// parseLevel accepts the four plain names only, not slog's offsets such as "info+2".
func parseLevel(name string) (slog.Level, error) {
	switch strings.ToLower(name) {
	case "debug":
		return slog.LevelDebug, nil
	case "info":
		return slog.LevelInfo, nil
	case "warn":
		return slog.LevelWarn, nil
	case "error":
		return slog.LevelError, nil
	default:
		return 0, errors.Wrapf(ErrLogLevel, "%q", name)
	}
}
