package relay

import "sync"

// promptWeight is the weight of one prompt in the mean.
const promptWeight = 0.02

// promptLengths holds the mean length of the recent prompts of each service, in tokens. It
// is safe for concurrent use.
type promptLengths struct {
	mu    sync.Mutex
	means map[string]float64
}

func newPromptLengths() *promptLengths { return &promptLengths{means: make(map[string]float64)} }

// observe adds a prompt.
func (p *promptLengths) observe(service string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, known := p.means[service]
	if !known {
		mean = float64(tokens)
	}
	p.means[service] = mean + promptWeight*(float64(tokens)-mean)
}

// mean returns the mean length; 0 if there was no prompt.
func (p *promptLengths) mean(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.means[service]
}
