package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with seconds since the start.
type recorder struct {
	mutex sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *recorder) seconds(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// log writes one line to the record.
func (r *recorder) log(format string, args ...any) { r.logAt(time.Now(), format, args...) }

func (r *recorder) logAt(at time.Time, format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", r.seconds(at), fmt.Sprintf(format, args...))
}

// say writes one line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf("%9.3f  %s\n", r.seconds(time.Now()), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.out.Flush()
	r.file.Close()
}
