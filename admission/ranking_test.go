package admission

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The ranking removes requests in the order of their value density, and of equals the last one first.
func TestRankingRemovesTheLeastValuableFirst(t *testing.T) {
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		var ranking valueRanking
		var scanned []rankedRequest
		for position := range 200 {
			if rng.Intn(3) > 0 {
				ranked := rankedRequest{&Request{}, float64(rng.Intn(5)), position}
				ranking.add(ranked)
				scanned = append(scanned, ranked)
				continue
			}
			if len(scanned) == 0 {
				continue
			}
			least := 0
			for i := range scanned {
				if scanned[i].density <= scanned[least].density {
					least = i
				}
			}
			assert.Same(t, scanned[least].request, ranking.removeLeast())
			scanned = append(scanned[:least], scanned[least+1:]...)
		}
		assert.Len(t, ranking, len(scanned))
	}
}

// BenchmarkBurst measures the round that brings a burst of requests to an idle server.
func BenchmarkBurst(b *testing.B) {
	for _, burst := range []int{1, 250, 1000, 4000} {
		b.Run(fmt.Sprint(burst), func(b *testing.B) {
			server := newFixture(func(s *Settings) {
				s.MemoryKB, s.Routes = 1e6, s.Routes[:1]
			})
			arrived := make([]*Request, burst)
			for b.Loop() {
				server.at += 20 * time.Second // all requests of the burst before have ended
				server.round(Round{})
				for i := range arrived {
					arrived[i] = server.request("", 0)
				}
				server.round(Round{Arrived: arrived})
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*burst), "us/request")
		})
	}
}
