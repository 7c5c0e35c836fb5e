package admission

// rankedRequest is a queued request with the criteria by which it is shed.
type rankedRequest struct {
	request  *Request
	density  float64 // value per second of work
	position int     // in the queue
}

// shedBefore reports whether the request is shed before the other one: the lower value density first, and of equals the
// later in the queue.
func (r rankedRequest) shedBefore(other rankedRequest) bool {
	return r.density < other.density || r.density == other.density && r.position > other.position
}

// valueRanking is a binary heap of requests. Its first element is shed next.
type valueRanking []rankedRequest

// add inserts a request.
func (v *valueRanking) add(added rankedRequest) {
	heap := append(*v, added)
	at := len(heap) - 1
	for at > 0 {
		parent := (at - 1) / 2
		if !heap[at].shedBefore(heap[parent]) {
			break
		}
		heap[at], heap[parent] = heap[parent], heap[at]
		at = parent
	}
	*v = heap
}

// removeLeast removes and returns the request that is shed next. The heap must not be empty.
func (v *valueRanking) removeLeast() *Request {
	heap := *v
	least := heap[0].request
	last := len(heap) - 1
	heap[0] = heap[last]
	heap[last] = rankedRequest{}
	heap = heap[:last]
	for at := 0; ; {
		first := at
		for child := 2*at + 1; child <= 2*at+2 && child < len(heap); child++ {
			if heap[child].shedBefore(heap[first]) {
				first = child
			}
		}
		if first == at {
			break
		}
		heap[at], heap[first] = heap[first], heap[at]
		at = first
	}
	*v = heap
	return least
}
