package commander

import (
	"bufio"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"crocustack/core/recorder"
)

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// readLogs collects the decisions about a request, and about the calls made for
// it, from logs. A file "-" is the standard input. Lines that are no decisions
// are skipped.
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

// callSeparator stands between the id of a request and that of a call made for
// it, where ids name their parents.
const callSeparator = "."

func belongsTo(request, id string) bool {
	return request == id || strings.HasPrefix(request, id+callSeparator)
}

// nodeOf names the node of a line: the last word that a log collector put before
// it, or the name of the file.
func nodeOf(prefix, file string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return file
	}
	return words[len(words)-1]
}
