package logging

import "go.uber.org/zap"

// Cause returns a log field with the text of an error. Unlike zap.Error it omits the stack trace that errs adds, which is
// longer than the rest of the line.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
