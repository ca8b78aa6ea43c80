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

// processUsage is the resource use of a process since its start.
type processUsage struct {
	cpuTicks int64 // user and system CPU time, see ticksPerSecond
	rssKB    int64
	// fileRSSKB is the part of rssKB that is mapped from files, such as the binary.
	fileRSSKB int64
	// ioBytes is the bytes of all read and write calls. The daemon uses no disk, so these are
	// the calls on its sockets, plus a little log output and the wake-ups of its poller, 8 bytes
	// each.
	ioBytes int64
}

// readProcessUsage reads the CPU time, the resident memory and the I/O bytes of a process.
func readProcessUsage(pid int) (processUsage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}, trace.ConvertSystemError(err)
	}
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return processUsage{}, trace.ConvertSystemError(err)
	}
	u, err := parseStat(string(stat))
	if err != nil {
		return processUsage{}, trace.Wrap(err)
	}
	u.ioBytes, err = parseIO(string(io))
	if err != nil {
		return processUsage{}, trace.Wrap(err)
	}
	// The third field is the number of resident pages that are mapped from files.
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return processUsage{}, trace.ConvertSystemError(err)
	}
	if fields := strings.Fields(string(statm)); len(fields) > 2 {
		filePages, err := strconv.ParseInt(fields[2], 10, 64)
		if err != nil {
			return processUsage{}, trace.Wrap(err)
		}
		u.fileRSSKB = filePages * int64(os.Getpagesize()) / 1024
	}
	return u, nil
}

// parseStat parses the CPU time and the resident memory in a /proc/PID/stat line.
func parseStat(text string) (processUsage, error) {
	// The name of the program is in parentheses and may itself contain some. State is
	// field 3, user and system time are fields 14 and 15, and the resident pages are field 24.
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	var numbers [3]int64
	for i, field := range []int{14, 15, 24} {
		if len(fields) <= field-3 {
			return processUsage{}, trace.BadParameter("/proc/PID/stat has only %d fields after the program name", len(fields))
		}
		var err error
		numbers[i], err = strconv.ParseInt(fields[field-3], 10, 64)
		if err != nil {
			return processUsage{}, trace.Wrap(err)
		}
	}
	return processUsage{cpuTicks: numbers[0] + numbers[1], rssKB: numbers[2] * int64(os.Getpagesize()) / 1024}, nil
}

// parseIO returns the sum of the bytes of read and write calls in /proc/PID/io.
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
		return 0, trace.BadParameter("/proc/PID/io has no rchar or no wchar line")
	}
	return sum, nil
}
