package experimenter

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// reservation keeps listeners open on free ports of the loopback address, so that
// the kernel assigns them to no other listener.
type reservation struct {
	listeners map[string]net.Listener
}

func (r *reservation) acquire() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	if r.listeners == nil {
		r.listeners = make(map[string]net.Listener)
	}
	r.listeners[l.Addr().String()] = l
	return l.Addr().String(), nil
}

// release closes the listeners, so that a node can listen on the addresses.
func (r *reservation) release(addresses ...string) {
	for _, a := range addresses {
		if l, ok := r.listeners[a]; ok {
			_ = l.Close()
			delete(r.listeners, a)
		}
	}
}

// nodeBinary returns the path of the crocusd in the directory of the running
// binary.
func nodeBinary() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", errors.Wrap(err, "find own binary")
	}
	path := filepath.Join(filepath.Dir(self), "crocusd")
	if _, err := os.Stat(path); err != nil {
		return "", errors.Wrap(err, "crocusd not found in the directory of crocusfake (run make build)")
	}
	return path, nil
}

// process is one execution of the node binary.
type process struct {
	cmd *exec.Cmd
	// done is closed after the process has exited; state is valid then.
	done  chan struct{}
	state *os.ProcessState
}

// starter runs functions on one OS thread that never ends. All processes are
// started there, because the kernel sends Pdeathsig when the thread that started
// a process ends, even if its process lives on.
var starter = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

func startProcess(binary, settings, logFile string) (*process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open node log")
	}
	defer func() { _ = log.Close() }()
	p := &process{cmd: exec.Command(binary, "--settings", settings), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starter() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, errors.Wrap(err, "start node")
	}
	go func() {
		_ = p.cmd.Wait()
		p.state = p.cmd.ProcessState
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL, which also ends a stopped process, and waits until the
// process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}
