package fleet_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cicadastand.dev/core/state/fleet"
)

func ExampleParseContract() {
	_, err := fleet.ParseContract("account: Bastones\nmodels: [advice]\nlimits: {concurrency: -1}\n")
	fmt.Println(err)
	// Output:
	// contract is invalid: account: must be 1 to 64 of a-z, 0-9, dot, dash and underscore, not "Bastones"; key-hashes: must hold at least one digest; limits.concurrency: must be between 1 and 1000000
}

func TestContractErrorsNameTheField(t *testing.T) {
	hash := strings.Repeat("a", 64)
	good := "account: a\nkey-hashes: [" + hash + "]\nmodels: [m]\n"
	for field, text := range map[string]string{
		"colour":                     good + "colour: red\n",
		"weight":                     good + "weight: -1\n",
		"rank":                       good + "rank: slow\n",
		"ranks[0]":                   good + "ranks: [slow]\n",
		"limits.requests-per-second": good + "limits: {requests-per-second: 0}\n",
		"urgent.first-token":         good + "urgent: {first-token: 1m, deadline: 1s}\n",
		"key-hashes[0]":              "account: a\nkey-hashes: [zz]\nmodels: [m]\n",
		"models":                     "account: a\nkey-hashes: [" + hash + "]\n",
		"document":                   "",
	} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			_, err := fleet.ParseContract(text)
			var invalid *fleet.ErrInvalid
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Fields[0].Field, field)
		})
	}
	if _, err := fleet.ParseContract(good); err != nil {
		t.Fatal(err)
	}
}

func TestFleetErrorsNameTheField(t *testing.T) {
	model := "models: [{name: m, weights-version: v1}]\n"
	endpoint := func(fields string) string {
		return model + "endpoints: [{name: e, failure-domain: d, kind: engine, serves: [m], address: \"127.0.0.1:1\", slots: 1, prefill-rate: 1" + fields + "}]\n"
	}
	for field, text := range map[string]string{
		"models[1].name":                        "models: [{name: m, weights-version: v1}, {name: m, weights-version: v1}]\n",
		"other-floor":                           model + "other-floor: 0.9\n",
		"endpoints[0].serves[0]":                strings.Replace(endpoint(""), "[m]", "[x]", 1),
		"endpoints[0].slots":                    strings.Replace(endpoint(""), "slots: 1", "slots: 0", 1),
		"services[0].status-path":               "services: [{name: s, status-path: /x}]\n",
		"services[0].repeatable[0].path-prefix": "services: [{name: s, repeatable: [{method: GET, path-prefix: x}]}]\n",
	} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			_, err := fleet.ParseFleet(text)
			var invalid *fleet.ErrInvalid
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Fields[0].Field, field)
		})
	}
	if _, err := fleet.ParseFleet(endpoint("")); err != nil {
		t.Fatal(err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("account: a\nmodels: [m]\n")
	f.Add("models: [{name: m, weights-version: v1}]\nendpoints: [{address: \"1.2.3.4:5\"}]\n")
	f.Fuzz(func(t *testing.T, text string) {
		if c, err := fleet.ParseContract(text); err == nil && !fleet.ValidName(c.Account) {
			t.Fatalf("contract with invalid account name %q was accepted", c.Account)
		}
		if _, err := fleet.ParseFleet(text); err != nil && !fleet.IsErrInvalid(err) {
			t.Fatalf("error is not an ErrInvalid: %v", err)
		}
	})
}
