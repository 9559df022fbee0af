package settings_test

import (
	"os"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/settings"
)

// TestStoredKeys parses a settings file that has every key, each with a value other than its default: the keys must
// stay the same as in the files of deployed machines.
func TestStoredKeys(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("testdata/every-key.toml")
	c.Assert(err, qt.IsNil)
	got, err := settings.Parse("every-key.toml", text)
	c.Assert(err, qt.IsNil)
	want := settings.Settings{
		NodeName: "control-1", Role: "my-control", Tier: "core", Roles: []string{"edge", "ctl"}, IP: "10.1.0.13",
		Zone: "z1", Region: "r1", Ports: [2]int{7720, 7735}, Seeds: []string{"10.1.0.16:8166", "10.2.0.32:8166"},
		Bootstrap: true, Voting: true, DataDir: "/var/lib/molepaddle", Discovery: "provider", Ingress: "vip",
		Heartbeat: 1301 * time.Millisecond, Clauses: []string{"base", "drain"},
		Zones: map[string]string{"z1": "r1", "z2": "r2"},
		Bind:  settings.Bind{Edge: "10.1.0.13:8161", Ready: "10.1.0.13:8167", Control: "10.1.0.13:8166"},
		Limits: settings.Limits{
			CPUFraction: 0.4, CPUs: 1.5, MemoryMB: 284, Files: 4100, LinkMbps: 1000.5, DiskMB: 77,
		},
		Survive: settings.Survive{Nodes: 1, Zones: 2, Regions: 3},
		Bounds: settings.Bounds{
			PeerLag: 31 * time.Second, AddrReuse: 32 * time.Second, Contact: 3003 * time.Millisecond,
			Ack: 3004 * time.Millisecond, Sync: 35 * time.Second, Drain: 3006 * time.Millisecond,
			Grace: 37 * time.Second, LossSlack: 308 * time.Millisecond, Apply: 3009 * time.Millisecond,
			Downgrade: 310 * time.Millisecond, Skew: 3011 * time.Millisecond, RetryRatio: 0.312,
			RetryWindow: 313 * time.Second, RetryExtra: 314, Heal: 315 * time.Second, Transit: 316 * time.Millisecond,
			Again: 317 * time.Second, Fencing: true, Lease: 3018 * time.Millisecond, Unfreeze: 319 * time.Millisecond,
			Version: 320 * time.Millisecond, StrictRevoke: true, Revoke: 3022 * time.Millisecond,
			QuotaWindow: 323 * time.Second, QuotaExcess: 0.324, QuotaExtra: 325,
		},
		Provider: settings.Provider{
			Address: "10.200.0.79:8169", Rate: 42.5, Jobs: []string{"a", "b"}, Delay: 821 * time.Millisecond,
		},
	}
	c.Check(got, qt.DeepEquals, want)
	for _, path := range zeroFields("", reflect.ValueOf(got)) {
		c.Errorf("%s is zero: testdata/every-key.toml doesn't give its key", path)
	}
	c.Check(settings.EnvFile, qt.Equals, "MOLEPADDLE_CONFIG")
}

// zeroFields returns the paths of the fields of a struct, including nested ones, that have their zero values.
func zeroFields(at string, v reflect.Value) (zero []string) {
	for i := range v.NumField() {
		path := at + v.Type().Field(i).Name
		if v.Field(i).Kind() == reflect.Struct {
			zero = append(zero, zeroFields(path+".", v.Field(i))...)
		} else if v.Field(i).IsZero() {
			zero = append(zero, path)
		}
	}
	return zero
}
