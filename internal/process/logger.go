package process

import (
	"io"
	"log/slog"
	"strings"

	"github.com/pkg/errors"
)

// LogFormat is the format of log records.
type LogFormat string

// The log formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

var (
	// ErrLogLevel reports an unknown log level.
	ErrLogLevel = errors.New("process: unknown log level (allowed: debug, info, warn, error)")
	// ErrLogFormat reports an unknown log format.
	ErrLogFormat = errors.New("process: unknown log format (allowed: text, json)")
)

// NewLogger returns a logger that writes records of the named level and above to w. Its errors wrap ErrLogLevel or
// ErrLogFormat.
func NewLogger(level string, format LogFormat, w io.Writer) (*slog.Logger, error) {
	parsed, err := parseLevel(level)
	if err != nil {
		return nil, err
	}
	options := &slog.HandlerOptions{Level: parsed, ReplaceAttr: errorsAsMessages}
	switch format {
	case LogText:
		return slog.New(slog.NewTextHandler(w, options)), nil
	case LogJSON:
		return slog.New(slog.NewJSONHandler(w, options)), nil
	default:
		return nil, errors.Wrapf(ErrLogFormat, "%q", string(format))
	}
}

// errorsAsMessages replaces an error attribute by its message; otherwise the stack trace of a pkg/errors error would make
// a record about a page long.
func errorsAsMessages(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// parseLevel accepts only the four level names, not slog's offsets such as "info+2".
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
