package logging

import "go.uber.org/zap"

// Cause is a field with the text of an error. Unlike zap.Error it leaves out the stack that errors of this project carry,
// which is longer than the line.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
