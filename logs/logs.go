package logs

import (
	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/wire"
	"go.uber.org/zap"
)

// New returns a logger that writes JSON to standard error at level and above. It returns an error for an unknown level.
func New(level string, router ident.Router) (*zap.Logger, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = parsed
	cfg.Sampling = nil
	log, err := cfg.Build()
	if err != nil {
		return nil, errors.Wrap(err, "build logger")
	}
	return log.With(zap.String("router", string(router))), nil
}

// Request returns the log fields of a finished request. A nil refusal means that the request was answered.
func Request(id ident.Request, org ident.Organisation, class ident.Class, e ident.Engine, refusal *wire.Refusal) []zap.Field {
	outcome, code := "answered", ""
	if refusal != nil {
		outcome, code = string(refusal.Outcome), string(refusal.Code)
	}
	return []zap.Field{
		zap.String("request", string(id)), zap.String("organisation", string(org)), zap.String("class", string(class)),
		zap.String("engine", string(e)), zap.String("outcome", outcome), zap.String("code", code),
	}
}
