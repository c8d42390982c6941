package engine

import "errors"

// ErrRefused is returned if an engine answered that it will not carry out a command.
var ErrRefused = errors.New("engine refused the command")
