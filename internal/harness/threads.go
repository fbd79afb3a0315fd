package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// threadStates tells what the threads of a process do: how many are in each state, and where in
// the kernel they wait. A thread in state D can't be ended.
func threadStates(pid int) string {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil || len(tasks) == 0 {
		return "none"
	}
	counts := map[string]int{}
	for _, task := range tasks {
		counts[threadState(task)]++
	}
	var states []string
	for state, count := range counts {
		states = append(states, fmt.Sprintf("%d %s", count, state))
	}
	slices.Sort(states)
	return strings.Join(states, ", ")
}

// threadState is the state of one thread, from its folder below /proc.
func threadState(task string) string {
	stat, err := os.ReadFile(filepath.Join(task, "stat"))
	if err != nil {
		return "ended"
	}
	// The state follows the name, which stands in parentheses and may hold any character.
	_, rest, _ := strings.Cut(string(stat[strings.LastIndexByte(string(stat), ')')+1:]), " ")
	state, _, _ := strings.Cut(rest, " ")
	if wait, err := os.ReadFile(filepath.Join(task, "wchan")); err == nil && len(wait) > 1 {
		state += " in " + string(wait)
	}
	return state
}
