package endpoint

import (
	"strconv"
	"strings"
)

// parseLoad parses a load report: the numbers of running requests, waiting requests and
// slots, separated by commas. The slots are ignored, because the epoch contains them.
func parseLoad(header string) (running, waiting int, ok bool) {
	if header == "" {
		return 0, 0, false
	}
	fields := strings.Split(header, ",")
	if len(fields) != 3 {
		return 0, 0, false
	}
	running, runningErr := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, waitingErr := strconv.Atoi(strings.TrimSpace(fields[1]))
	return running, waiting, runningErr == nil && waitingErr == nil && running >= 0 && waiting >= 0
}
