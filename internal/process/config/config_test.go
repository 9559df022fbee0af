package config

import (
	"encoding/json"
	"strings"
	"testing"

	"molepaddle/internal/rig/testkit"
)

const unusedRegistry = "127.0.0.1:1"

// An error of an invalid configuration names the key.
func TestConfigErrors(t *testing.T) {
	for key, change := range map[string]func(c map[string]any){
		"name":             func(c map[string]any) { delete(c, "name") },
		"listen":           func(c map[string]any) { c["listen"] = "here" },
		"discovery":        func(c map[string]any) { c["discovery"] = "127.0.0.1:http" },
		"seed":             func(c map[string]any) { c["seed"] = "xyz" },
		"limits.cores":     func(c map[string]any) { c["limits"].(map[string]any)["cores"] = 0 },
		"limits.memory_mb": func(c map[string]any) { c["limits"].(map[string]any)["memory_mb"] = -1 },
		"limits.sockets":   func(c map[string]any) { c["limits"].(map[string]any)["sockets"] = "many" },
		"settings":         func(c map[string]any) { delete(c, "settings") },
		"failureDomains":   func(c map[string]any) { c["settings"].(map[string]any)["failureDomains"] = 1 },
		"classes[0].effect": func(c map[string]any) {
			c["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any)["effect"] = "?"
		},
		"classes[0].name": func(c map[string]any) {
			delete(c["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any), "name")
		},
		"membershipMode":       func(c map[string]any) { c["settings"].(map[string]any)["membershipMode"] = "?" },
		"contract.coldMs":      func(c map[string]any) { c["settings"].(map[string]any)["contract"].(map[string]any)["coldMs"] = -1 },
		"known: hosts[0].dial": func(c map[string]any) { c["known"].(map[string]any)["hosts"] = []any{testkit.Host(0, "x", "ready")} },
		"known: hosts[0].health": func(c map[string]any) {
			c["known"].(map[string]any)["hosts"] = []any{testkit.Host(0, "127.0.0.1:1", "well")}
		},
	} {
		c := testkit.Config(unusedRegistry)
		change(c)
		text, _ := json.Marshal(c)
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: said %v", key, err)
		}
	}
	if _, err := Parse([]byte("{")); err == nil {
		t.Error("a truncated configuration was accepted")
	}
}
