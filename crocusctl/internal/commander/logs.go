package commander

import (
	"bufio"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"crocustack/core/recorder"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// readLogs collects the decisions about a request, and about the calls made for
// it, from logs. The file "-" is the standard input. Lines that do not contain
// a decision are skipped.
func readLogs(env *environment, files []string, id string) ([]NodeDecision, error) {
	var found []NodeDecision
	for _, file := range files {
		ds, err := readLog(env, file, id)
		if err != nil {
			return nil, errors.Wrap(err, file)
		}
		found = append(found, ds...)
	}
	slices.SortStableFunc(found, func(a, b NodeDecision) int { return a.Decision.Time.Compare(b.Decision.Time) })
	return found, nil
}

func readLog(env *environment, file, id string) ([]NodeDecision, error) {
	r := env.stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close() //nolint:errcheck // The file was only read.
		r = f
	}
	var found []NodeDecision
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		d, prefix, err := recorder.ParseLine(lines.Bytes())
		if err != nil || !belongsTo(d.RequestID, id) {
			continue
		}
		found = append(found, NodeDecision{Node: nodeOf(prefix, file), Decision: d})
	}
	return found, lines.Err()
}

// callSeparator separates the id of a request from the suffix that identifies a
// call made for it, where ids begin with the id of the parent request.
const callSeparator = "."

func belongsTo(request, id string) bool {
	return request == id || strings.HasPrefix(request, id+callSeparator)
}

// nodeOf returns the name of the node that wrote a line: the last word of the
// prefix that a log collector added, or else the name of the file.
func nodeOf(prefix, file string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return file
	}
	return words[len(words)-1]
}
