package scheduler_test

import (
	"fmt"
	"os"
	"strings"
)

// trace prints the line if SIMTRACE is set and the line contains its value or reports a boot, crash or takeover.
func (s *sim) trace(format string, a ...any) {
	if f := os.Getenv("SIMTRACE"); f != "" {
		line := fmt.Sprintf(format, a...)
		if strings.Contains(line, f) || strings.Contains(line, "EVENT") {
			fmt.Println(s.now, line)
		}
	}
}
