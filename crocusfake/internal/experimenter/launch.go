package experimenter

import "crocustack/core/releaser"

// Node is a node process that another package of this module started. It gets
// SIGKILL when this process ends.
type Node struct {
	p *process
}

// StartNode starts the crocusd beside the running binary and appends its output
// to the log file.
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

// PID returns the process id.
func (n *Node) PID() int { return n.p.cmd.Process.Pid }

// Done is closed after the process ended.
func (n *Node) Done() <-chan struct{} { return n.p.done }

// Kill ends the process at once and returns when it is gone.
func (n *Node) Kill() { n.p.kill() }

// Reserve returns n free TCP addresses of the loopback interface. No other
// listener is given them until they are released.
func Reserve(n int) (addresses []string, release func(addresses ...string), err error) {
	var r reservation
	for range n {
		a, err := r.take()
		if err != nil {
			r.release(addresses...)
			return nil, nil, err
		}
		addresses = append(addresses, a)
	}
	return addresses, r.release, nil
}

// NewHead returns a head with the parameters, given as names and values, and
// the load average.
func NewHead(command string, seed uint64, parameters ...string) Head {
	return newHead(command, seed, parameters...)
}

// Normalized returns the note as nodes read it, with sorted lists.
func Normalized(n releaser.Note) (releaser.Note, error) { return normalized(n) }
