package obs

import "go.uber.org/zap"

// ErrorField returns the log field for an error. Unlike zap.Error it omits the stack traces
// of wrapped errors, which would make up most of the log.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
