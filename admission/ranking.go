package admission

// rankedRequest is a queued request with what decides when it is shed.
type rankedRequest struct {
	request  *Request
	density  float64 // value for a second of work
	position int     // in the queue
}

// before is whether the request is shed before the other: the one of the least value density, and of equals the last one.
func (r rankedRequest) before(other rankedRequest) bool {
	return r.density < other.density || r.density == other.density && r.position > other.position
}

// valueRanking is a binary heap of requests. The first is the one that is shed next.
type valueRanking []rankedRequest

// add puts a request into the heap.
func (v *valueRanking) add(added rankedRequest) {
	heap := append(*v, added)
	at := len(heap) - 1
	for at > 0 {
		parent := (at - 1) / 2
		if !heap[at].before(heap[parent]) {
			break
		}
		heap[at], heap[parent] = heap[parent], heap[at]
		at = parent
	}
	*v = heap
}

// removeLeast takes the request out that is shed next. The heap must not be empty.
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
			if heap[child].before(heap[first]) {
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
