package main

import (
	"os"

	"github.com/rattanlanding/rattanlanding/explain"
)

// explainCommand shows the trace of one request.
type explainCommand struct {
	Request string   `arg:"" help:"Request ID."`
	Files   []string `arg:"" type:"existingfile" help:"Log files of the nodes."`
}

// Run prints the trace of one request through the logs of several nodes.
func (c *explainCommand) Run(env *environment) error {
	var lines []explain.Line
	for _, path := range c.Files {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		read, err := explain.Read(file)
		_ = file.Close()
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	trace, err := explain.Trace(lines, c.Request)
	if err != nil {
		return err
	}
	return explain.Write(env.out, trace, c.Request)
}
