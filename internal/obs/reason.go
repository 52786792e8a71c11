package obs

import "go.uber.org/zap"

// Reason returns the log field for an error. Unlike zap.Error it leaves out the stack
// traces that wrapped errors carry, which would be most of the log.
func Reason(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
