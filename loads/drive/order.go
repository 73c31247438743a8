package drive

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"cicadastand.dev/loads/plan"
	"cicadastand.dev/stand/service"
)

// OrderCheck sets what callers were told against what the services ran.
type OrderCheck struct {
	// Placed counts keys that ran exactly once.
	Placed int
	// Twice counts keys that ran more than once.
	Twice int
	// FalseNotRun counts keys that ran although every answer said that they did not.
	FalseNotRun int
	// FalseDone counts keys that did not run although an answer said so.
	FalseDone int
}

// placeOrder places an placeOrder, and sends some of them again to another router.
func (d *Driver) placeOrder(ctx context.Context, r *plan.Request) Sample {
	key, err := uuid.NewV7()
	if err != nil {
		return Sample{Outcome: Failed, Detail: err.Error()}
	}
	s := d.attemptOrder(ctx, r, r.Router, key.String(), 0)
	if r.Retry || s.Outcome == Unknown {
		if retry := d.attemptOrder(ctx, r, r.Router+1, key.String(), 1); s.Outcome != Correct {
			retry.Total += s.Total
			s = retry
		}
	}
	s.Key = key.String()
	return s
}

func (d *Driver) attemptOrder(ctx context.Context, r *plan.Request, router int, key string, retries int) Sample {
	url := fmt.Sprintf("http://%s/v1/services/%s/orders", d.routerAddress(router), r.Stream.Service)
	body := strings.NewReader(fmt.Sprintf(`{"number":%d}`, r.Number))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return Sample{Outcome: Failed, Detail: err.Error()}
	}
	setHeaders(req.Header, r.Stream)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Idempotency-Retry-Count", fmt.Sprint(retries))
	start := d.clock.Now()
	resp, err := d.http.Do(req)
	if err != nil {
		return Sample{Outcome: Failed, Detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return errorSample(resp)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	if err != nil {
		return Sample{Outcome: Failed, Detail: err.Error()}
	}
	var placed service.OrderBody
	if err := json.Unmarshal(raw, &placed); err != nil || placed.Key != key {
		return Sample{Outcome: Wrong, Detail: fmt.Sprintf("the answer is about key %q", placed.Key)}
	}
	return Sample{Outcome: Correct, Total: d.clock.Now().Sub(start)}
}

// checkOrders asks the services what they ran.
func (d *Driver) checkOrders(ctx context.Context) (OrderCheck, error) {
	ran := make(map[string]int)
	for _, address := range d.workload.Services {
		body, err := d.executions(ctx, "http://"+address.String()+"/control/executions")
		if err != nil {
			return OrderCheck{}, err
		}
		for _, e := range body.Executions {
			ran[e.Key] += e.Count
		}
	}
	var check OrderCheck
	for _, n := range ran {
		switch {
		case n == 1:
			check.Placed++
		case n > 1:
			check.Twice++
		}
	}
	for _, s := range d.samples {
		switch {
		case s.Key == "":
		case s.Outcome == Rejected && ran[s.Key] > 0:
			check.FalseNotRun++
		case s.Outcome == Correct && ran[s.Key] == 0 && len(d.workload.Services) > 0:
			check.FalseDone++
		}
	}
	return check, nil
}

func (d *Driver) executions(ctx context.Context, url string) (service.ExecutionsBody, error) {
	var body service.ExecutionsBody
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return body, fmt.Errorf("make request: %w", err)
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return body, fmt.Errorf("ask for executions: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return body, fmt.Errorf("decode executions: %w", err)
	}
	return body, nil
}
