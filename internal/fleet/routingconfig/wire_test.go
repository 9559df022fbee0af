package routingconfig_test

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/goldenbytes"
)

// TestWireBytes checks the keys of an encoded Config against the golden file.
func TestWireBytes(t *testing.T) {
	goldenbytes.JSON(t, "configuration", new(routingconfig.Config))
}

// TestWireBytesWithoutAccounts checks a configuration of releases before accounts and public routes. It is decoded, and
// encoded as the same bytes.
func TestWireBytesWithoutAccounts(t *testing.T) {
	c := qt.New(t)
	old, err := os.ReadFile("testdata/wire/configuration.without-accounts.json")
	c.Assert(err, qt.IsNil)
	var config routingconfig.Config
	c.Assert(json.Unmarshal(old, &config), qt.IsNil)
	var written bytes.Buffer
	c.Assert(json.NewEncoder(&written).Encode(config), qt.IsNil)
	c.Assert(written.String(), qt.Equals, string(old))
}

// TestStoredBytes decodes a stored configuration that has every key: each field is read by its key, and Show returns
// the bytes that were sent.
func TestStoredBytes(t *testing.T) {
	c := qt.New(t)
	body, err := os.ReadFile("testdata/stored/configuration.json")
	c.Assert(err, qt.IsNil)
	d := decode(t, string(body))
	c.Check(string(d.Show()), qt.Equals, string(body))
	want := routingconfig.Config{
		Version: 7,
		Routes: []routingconfig.RouteSpec{
			{
				Name: "route-1", Hostname: "h1.example", Prefix: "/one/", Kind: routingconfig.KindStream,
				DeadlineMs: 20000.5, LatencyTargetMs: 120.25, Priority: 3, ServiceName: "service-1",
				Split: []routingconfig.WeightedServiceSpec{
					{ServiceName: "service-1", Weight: 90.5}, {ServiceName: "service-2", Weight: 9.5},
				},
				MaxAttempts: 2, PrefixAffinity: true, Resumable: true, EventGapTargetMs: 150.75, Tenant: "tenant-1", Regions: []string{"region-1"},
			},
			{
				Name: "route-2", Hostname: "h1.example", Prefix: "/two/", Kind: routingconfig.KindReadonly,
				DeadlineMs: 1000, ServiceName: "service-2", MaxAttempts: 1,
			},
			{
				Name: "route-3", Hostname: "h1.example", Prefix: "/three/", Kind: routingconfig.KindMutating,
				DeadlineMs: 2000, ServiceName: "service-2", MaxAttempts: 1,
			},
		},
		Services: []routingconfig.Service{
			{
				Name: "service-1", HealthCheckPath: "/healthz", MaxConn: 370, Proto: "h1", SSL: true,
				Runtime: &routingconfig.Runtime{
					Capacity: 64, KVCacheTokens: 1128715, KVTokenBytes: 163840.5, KVTransferMbps: 5900000.5, Stride: 57.5,
					KVHandleTTLSeconds: 5.5, PhaseChangeSeconds: 0.5, Models: []routingconfig.Model{{Name: "model-1"}},
				},
			},
			{Name: "service-2"},
		},
		Limits: &routingconfig.Limits{
			MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000.5, IdleTimeoutMs: 15000.5,
		},
		Tenants: []routingconfig.Tenant{{Name: "tenant-1", Regions: []string{"region-1", "region-2"}}},
	}
	c.Check(d.Config(), qt.DeepEquals, want)
	accounts := storedAccounts(c)
	for _, one := range []any{
		want, want.Routes[0], want.Routes[0].Split[0], want.Services[0], *want.Services[0].Runtime,
		want.Services[0].Runtime.Models[0], *want.Limits, want.Tenants[0],
	} {
		v := reflect.ValueOf(one)
		for i := range v.NumField() {
			name := v.Type().Field(i).Name
			given := !v.Field(i).IsZero() || accounts[v.Type()].IsValid() && !accounts[v.Type()].Field(i).IsZero()
			c.Check(given, qt.IsTrue, qt.Commentf("no file of testdata/stored gives %v.%s", v.Type(), name))
		}
	}

	change, err := os.ReadFile("testdata/stored/update.json")
	c.Assert(err, qt.IsNil)
	goldenbytes.Check(t, "stored/updated.json", update(t, d, string(change)).Show())
}

// storedAccounts decodes a stored configuration that has the fields of the release that added accounts. It returns a
// value of each type that has one of these fields.
func storedAccounts(c *qt.C) map[reflect.Type]reflect.Value {
	body, err := os.ReadFile("testdata/stored/accounts.json")
	c.Assert(err, qt.IsNil)
	d := decode(c, string(body))
	c.Check(string(d.Show()), qt.Equals, string(body))
	config := d.Config()
	urgent := 1
	c.Check(config.Accounts, qt.DeepEquals, []routingconfig.Account{
		{Name: "account-1", Priority: &urgent, Rate: 84.5, Burst: 20.25},
		{Name: "account-2"},
	})
	c.Check(config.Routes[0].Public, qt.IsTrue)
	values := map[reflect.Type]reflect.Value{}
	for _, one := range []any{config, config.Routes[0]} {
		values[reflect.TypeOf(one)] = reflect.ValueOf(one)
	}
	return values
}

// TestStoredDigest checks the digests by which repeated changes are recognised.
func TestStoredDigest(t *testing.T) {
	c := qt.New(t)
	c.Check(routingconfig.Digest("update", 7, []byte(`{"ver":8}`)), qt.Equals, uint64(4198221720812242868))
}
