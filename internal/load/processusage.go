package load

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// ticksPerSecond is the unit of the CPU times in /proc/PID/stat on Linux.
const ticksPerSecond = 100

// use is what a process used up to a moment.
type use struct {
	ticks int64 // CPU time
	rssKB int64
	// fileKB is the part of rssKB that is mapped from the program's file.
	fileKB int64
	// traffic is the bytes of all read and write calls. The daemon has no disk: its
	// calls are those on its sockets, apart from a few lines of log output and the
	// wake-ups of its poller, 8 bytes each.
	traffic int64
}

// processUse reads the CPU time, the resident memory and the traffic of a process.
func processUse(pid int) (use, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return use{}, trace.ConvertSystemError(err)
	}
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return use{}, trace.ConvertSystemError(err)
	}
	u, err := parseStat(string(stat))
	if err != nil {
		return use{}, trace.Wrap(err)
	}
	u.traffic, err = parseIO(string(io))
	if err != nil {
		return use{}, trace.Wrap(err)
	}
	// The third field is the number of resident pages of files.
	pages, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return use{}, trace.ConvertSystemError(err)
	}
	if fields := strings.Fields(string(pages)); len(fields) > 2 {
		shared, err := strconv.ParseInt(fields[2], 10, 64)
		if err != nil {
			return use{}, trace.Wrap(err)
		}
		u.fileKB = shared * int64(os.Getpagesize()) / 1024
	}
	return u, nil
}

// parseStat reads a /proc/PID/stat line.
func parseStat(text string) (use, error) {
	// The fields after the name in parentheses: state is field 3, user and system
	// time are fields 14 and 15, the resident pages field 24.
	// The name itself may hold parentheses.
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	var numbers [3]int64
	for i, field := range []int{14, 15, 24} {
		if len(fields) <= field-3 {
			return use{}, trace.BadParameter("the process status has %d fields", len(fields))
		}
		var err error
		numbers[i], err = strconv.ParseInt(fields[field-3], 10, 64)
		if err != nil {
			return use{}, trace.Wrap(err)
		}
	}
	return use{ticks: numbers[0] + numbers[1], rssKB: numbers[2] * int64(os.Getpagesize()) / 1024}, nil
}

// parseIO reads the bytes of read and write calls from /proc/PID/io.
func parseIO(text string) (int64, error) {
	sum, found := int64(0), 0
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name != "rchar" && name != "wchar" {
			continue
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		sum += n
		found++
	}
	if found != 2 {
		return 0, trace.BadParameter("the process's byte counts are missing")
	}
	return sum, nil
}
