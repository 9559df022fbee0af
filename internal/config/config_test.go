package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

const nowhere = "127.0.0.1:1"

// whole is a whole configuration; backends are listed as s-0, s-1, ...
func whole(discovery string, backends ...string) map[string]any {
	hosts := []any{}
	for i, dial := range backends {
		hosts = append(hosts, host(i, dial, "ready"))
	}
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "aimMs": 20000, "giveUpMs": 30000, "credit": 1,
			"effect": effect, "group": "all", "keyTtlMs": 20000}
	}
	return map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"seq": 1, "whole": true, "hosts": hosts},
		"settings": map[string]any{
			"classes":        []any{class("look", "free"), class("send", "guarded"), class("order", "single_shot")},
			"failureDomains": []any{"a", "b"}, "shapes": []any{"k"}, "membershipMode": "pushed",
			"limits": map[string]any{"cancelling": true, "maxAttempts": 3, "connectTimeoutMs": 20000,
				"keepaliveMs": 30000, "maxRetryAfterMs": 600},
			"contract": map[string]any{"askWithinMs": 10000, "coldFrom": 0.3, "coldMs": 8000,
				"drainGraceMs": 250, "fallMultiple": 2.5, "tipAfterMs": 1000},
			"replicasOfMe": 1, "roundMs": 5, "weights": "nominal",
		},
	}
}

func host(i int, dial, health string) map[string]any {
	return map[string]any{"host": fmt.Sprint("s-", i), "dial": dial, "site": "a", "class": "k",
		"block": 1, "health": health, "share": 1.0, "born_ms": 0}
}

// Errors of a configuration name the key.
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
		"known: hosts[0].dial": func(c map[string]any) { c["known"].(map[string]any)["hosts"] = []any{host(0, "x", "ready")} },
		"known: hosts[0].health": func(c map[string]any) {
			c["known"].(map[string]any)["hosts"] = []any{host(0, "127.0.0.1:1", "well")}
		},
	} {
		c := whole(nowhere)
		change(c)
		text, _ := json.Marshal(c)
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: said %v", key, err)
		}
	}
	if _, err := Parse([]byte("{")); err == nil {
		t.Error("half a configuration was taken")
	}
}
