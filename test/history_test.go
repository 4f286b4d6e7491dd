package test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/transport"
	"github.com/cactusbay/cactusbay/pkg/operator"
)

const operatorKey = "operator-key"

// TestOperatorReadsHistoryAndStatus guards against an operator API that hides who
// changed what: after a patch at one control instance, the history, the diff and
// the status there must show the change, its operator and the version that each
// instance has.
func TestOperatorReadsHistoryAndStatus(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.key")
	err := os.WriteFile(path, []byte(operatorKey), 0o600)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a", "b", "c")
		defer s.close()
		s.controls["b"].Close()
		s.settings["control-b"].Operators = []settings.Operator{{Name: "ann", Key: settings.Secret{File: path}}}
		s.startControl("b")
		time.Sleep(reportTime)
		client := transport.Client(s.network.Host("operator"))
		defer client.CloseIdleConnections()
		api := &operator.Client{Address: s.settings["control-b"].OperatorAddress, Key: operatorKey, HTTP: client}
		ctx := context.Background()
		accepted, err := api.Patch(ctx, operator.Patch{ID: "p", Against: 1, Patch: []byte(`{"limits":{"body_bytes":5000}}`)})
		if err != nil || accepted.Version != 2 {
			t.Fatalf("patch: got %+v, %v, want version 2", accepted, err)
		}
		_, err = api.Patch(ctx, operator.Patch{ID: "q", Against: 1, Patch: []byte(`{}`)})
		var problem *operator.Problem
		if !errors.As(err, &problem) || problem.Code != "conflict" || problem.Version != 2 {
			t.Errorf("patch against version 1: got %v, want a conflict with version 2", err)
		}
		history, err := api.History(ctx, 0)
		last := len(history.Changes) - 1
		if err != nil || last != 1 || history.Changes[last].PatchID != "p" || history.Changes[last].Operator != "ann" {
			t.Errorf("history: got %+v, %v, want 2 changes, the last one patch p by ann", history, err)
		}
		diff, err := api.Diff(ctx, 0, 0)
		if err != nil || string(diff.Patch) != `{"limits":{"body_bytes":5000}}` {
			t.Errorf("diff: got %+v, %v, want the patch of version 2", diff, err)
		}
		time.Sleep(5 * time.Second)
		expectInstances(t, api, 2)
	})
}

// expectInstances checks that the status lists three live instances with the
// configuration version, confirmed by a majority within the last 5 seconds.
func expectInstances(t *testing.T, api *operator.Client, version uint64) {
	t.Helper()
	data, err := api.Status(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	var status struct {
		Instances []struct {
			Instance string  `json:"instance"`
			State    string  `json:"state"`
			Version  uint64  `json:"configuration_version"`
			Basis    string  `json:"basis"`
			Age      float64 `json:"age_seconds"`
		} `json:"instances"`
	}
	err = json.Unmarshal(data, &status)
	if err != nil || len(status.Instances) != 3 {
		t.Fatalf("status %s: %v, want 3 instances", data, err)
	}
	for _, instance := range status.Instances {
		if instance.State != "live" || instance.Version != version || instance.Basis != "majority" || instance.Age > 5 {
			t.Errorf("%+v", instance)
		}
	}
}
