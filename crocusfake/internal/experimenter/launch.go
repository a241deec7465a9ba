package experimenter

import "crocustack/core/releaser"

// Node is a node process for other packages of this module. The kernel sends it
// SIGKILL when the parent process ends.
type Node struct {
	p *process
}

// StartNode starts the crocusd in the directory of the running binary and
// appends its output to the log file.
func StartNode(settings, logFile string) (*Node, error) {
	binary, err := nodeBinary()
	if err != nil {
		return nil, err
	}
	p, err := startProcess(binary, settings, logFile)
	if err != nil {
		return nil, err
	}
	return &Node{p: p}, nil
}

// PID returns the process ID.
func (n *Node) PID() int { return n.p.cmd.Process.Pid }

// Done returns a channel that is closed after the process has exited.
func (n *Node) Done() <-chan struct{} { return n.p.done }

// Kill sends SIGKILL to the process and waits until it has exited.
func (n *Node) Kill() { n.p.kill() }

// Reserve returns n free TCP addresses of the loopback interface. The kernel
// assigns them to no other listener until they are released.
func Reserve(n int) (addresses []string, release func(addresses ...string), err error) {
	var r reservation
	for range n {
		a, err := r.acquire()
		if err != nil {
			r.release(addresses...)
			return nil, nil, err
		}
		addresses = append(addresses, a)
	}
	return addresses, r.release, nil
}

// NewHead returns a Head with the load average and the parameters, given as
// alternating names and values.
func NewHead(command string, seed uint64, parameters ...string) Head {
	return newHead(command, seed, parameters...)
}

// Normalized returns the note in the form that nodes parse, with sorted lists.
func Normalized(n releaser.Note) (releaser.Note, error) { return normalized(n) }
