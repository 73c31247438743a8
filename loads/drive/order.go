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

// OrderCheck compares the responses that callers got with the orders that the
// services executed. The field names are part of summary.json.
type OrderCheck struct {
	// Placed counts idempotency keys that were executed exactly once.
	Placed int
	// Twice counts keys that were executed more than once.
	Twice int
	// FalseNotRun counts keys that were executed although the outcome of the order is
	// Rejected, which means that it was not run.
	FalseNotRun int
	// FalseDone counts keys that were not executed although a response said so.
	FalseDone int
}

// placeOrder places an order. If the outcome is unknown, or the workload says so, it
// retries with the same idempotency key at another router.
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

// checkOrders compares the samples with the executions that the services report.
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
		return body, fmt.Errorf("create request for executions: %w", err)
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return body, fmt.Errorf("get executions: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return body, fmt.Errorf("decode executions: %w", err)
	}
	return body, nil
}
