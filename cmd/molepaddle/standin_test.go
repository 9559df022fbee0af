package main

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"molepaddle/internal/rig/testkit"
)

// The fake servers of a trial serve requests, print them, and drain on command.
func TestStandIn(t *testing.T) {
	roster, server := freeAddress(t), freeAddress(t)
	ctx, cancel := context.WithCancel(t.Context())
	in, type_ := io.Pipe()
	out, done := &output{}, make(chan error, 1)
	go func() { done <- runFakeServers(ctx, []string{roster, server}, in, out) }()
	get := func(url string) string {
		req, _ := http.NewRequest(http.MethodGet, url, nil)
		req.Header.Set("Request-Id", "trial-1")
		resp, err := testkit.Client.Do(req)
		if err != nil {
			return ""
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return string(text)
	}
	eventually(t, "it serves", out, func() bool { return get("http://"+server+"/order/u1") == "trial-1 by "+server })
	eventually(t, "it prints the request", out, func() bool { return strings.Contains(out.String(), server+" got trial-1") })
	io.WriteString(type_, "what\ndrain "+server+"\n")
	eventually(t, "it drains", out, func() bool { return strings.Contains(get("http://"+roster+"/v1/endpoints"), `"health":"draining"`) })
	if !strings.Contains(out.String(), `"what" is not understood`) {
		t.Error(out)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	for _, args := range [][]string{{roster}, {"10.0.0.1:1", server}, {roster, "nothing"}} {
		if runFakeServers(t.Context(), args, strings.NewReader(""), out) == nil {
			t.Errorf("arguments %v are accepted", args)
		}
	}
}
