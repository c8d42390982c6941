package prove

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is a running program of the project.
type process struct {
	name string
	cmd  *exec.Cmd
	// done is closed when the process has exited and err is set.
	done chan struct{}
	err  error

	mu     sync.Mutex
	frozen bool
}

// binary returns the path of a program built by make build.
func binary(name string) string { return filepath.Join("..", "..", "build", "bin", name) }

// startProcess writes config to a JSON file in dir and starts the program with it.
// The output is appended to a log file in dir.
func startProcess(t *testing.T, dir, name, program string, config any) *process {
	t.Helper()
	data, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		t.Fatal(err)
	}
	output, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, cmd: exec.Command(binary(program), "--config", file), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v (run make build first)", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = output.Close()
		close(p.done)
	}()
	return p
}

// running reports whether the process has not exited.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill kills the process with SIGKILL and waits for its exit.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// freeze suspends the process with SIGSTOP.
func (p *process) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = true
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
}

// thaw resumes a suspended process with SIGCONT.
func (p *process) thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = false
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// terminate sends SIGTERM and reports whether the process exited with code 0 within
// limit.
func (p *process) terminate(limit time.Duration) bool {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err == nil
	case <-time.After(limit):
		return false
	}
}

// isFrozen reports whether the process is suspended.
func (p *process) isFrozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen
}
