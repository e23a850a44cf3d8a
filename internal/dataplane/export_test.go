package dataplane

// Handler returns the function with which a reader of the plane handles one datagram, without its
// sockets, for tests outside this package.
func Handler(plane *Plane) func(datagram []byte) {
	worker := newWorker(plane)
	return func(datagram []byte) {
		worker.handle(datagram)
		worker.batch.queued = 0
	}
}
