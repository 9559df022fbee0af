package operator

import (
	"strings"
	"testing"
)

func TestPeers(t *testing.T) {
	good := "[peers]\nname = \"n0\"\nmachine = \"h0\"\nzone = \"a\"\nlisten = \"127.0.0.1:9450\"\nplain = true\n"
	o, err := Parse("o.toml", []byte(good+"[[peers.seed]]\nname = \"n1\"\naddress = \"127.0.0.1:9451\"\n"))
	if err != nil || !o.Peers.On() || o.Peers.AdvertisedAddress() != "127.0.0.1:9450" || !strings.Contains(strings.Join(o.Describe(), "\n"), "a view of the fleet as n0") {
		t.Fatalf("%v; %+v", err, o)
	}
	work := good + "[work]\nfolder = \"/x\"\n[[work.machine]]\nname = \"h0\"\nzone = \"a\"\nservers = [\"s-1\"]\n[[work.need]]\namount = 3\n"
	o, err = Parse("o.toml", []byte(work+"[promises]\non = true\ncopies = 2\nwithout = \"fewer\"\n"))
	if err != nil || !o.Work.On() || !o.Promises.AllowsFewer() || !strings.Contains(strings.Join(o.Describe(), "\n"), "a candidate for the council of 3, with its data in /x") || len(o.Work.MachineServers()[0].Servers) != 1 {
		t.Fatalf("%v; %+v", err, o)
	}
	for text, want := range map[string]string{
		strings.Replace(work, good, "", 1):                                                                "work.machine: needs peers",
		good + "[work]\nfolder = \"/x\"\n":                                                                "work.machine: missing",
		strings.Replace(work, "/x", "x", 1):                                                               "work.folder: not an absolute path",
		strings.Replace(work, "\"a\"\nservers", "\"\"\nservers", 1):                                       "work.machine[0].zone: missing",
		strings.Replace(work, "[\"s-1\"]", "[\"s-1\", \"s-1\"]", 1):                                       "work.machine[0].servers: \"s-1\"",
		strings.Replace(work, "[work]\n", "[work]\nseats = 2\n", 1):                                       "work.seats: must be 1, 3 or 5",
		strings.Replace(work, "[work]\n", "[work]\nreserve = -1.0\n", 1):                                  "work.reserve: must be from 0",
		strings.Replace(work, "[work]\n", "[work]\npatience = \"500ms\"\n", 1):                            "work.patience: must be whole seconds",
		strings.Replace(work, "[work]\n", "[work]\nreplace_after = \"1ms\"\n", 1):                         "work.replace_after: must be from 1s",
		strings.Replace(work, "[work]\n", "[work]\nmeasured = true\n", 1):                                 "work.machine[0].capacity: missing",
		strings.Replace(work, "amount = 3", "zone = \"b\"\namount = 3", 1):                                "work.need[0].zone: no machine",
		strings.Replace(work, "amount = 3", "amount = -3", 1):                                             "work.need[0].amount",
		work + "[[work.machine]]\nname = \"h0\"\nzone = \"a\"\n":                                          "work.machine: machine \"h0\": twice",
		good + "[promises]\non = true\n":                                                                  "promises.on: needs [work]",
		work + "[promises]\ncopies = 3\n":                                                                 "promises.copies: must be from 0 to 2",
		work + "[promises]\nwithout = \"x\"\n":                                                            "promises.without",
		work + "[promises]\nremember = \"1ms\"\n":                                                         "promises.remember: must be from 1s",
		work + "[promises]\njournal = \"tape\"\n":                                                         "promises.journal: must be",
		strings.Replace(work, "folder = \"/x\"\n", "", 1) + "[promises]\non = true\njournal = \"disk\"\n": "promises.journal: disk needs work.folder",
		work + "[promises]\nanswers_mb = 0\n":                                                             "promises.answers_mb: must be from 1",
		"[peers]\nname = \"n0\"\n":                                                                        "peers.listen: missing",
		strings.Replace(good, "n0", "n 0", 1):                                                             "peers.name: missing, over 64 bytes",
		strings.Replace(good, "machine = \"h0\"\n", "", 1):                                                "peers.machine: missing",
		strings.Replace(good, "plain = true\n", "", 1):                                                    "peers.keys: needs ca",
		strings.Replace(good, "127.0.0.1:9450", "10.0.0.1:9450", 1):                                       "peers.listen: links without TLS must be on loopback",
		good + "advertise = \"nowhere\"\n":                                                                "peers.advertise: not an address",
		good + "period = \"1ms\"\n":                                                                       "peers.period: must be from 20ms",
		good + "forget = \"1s\"\n":                                                                        "peers.forget: must be from 30s",
		good + "connections = 3\n":                                                                        "peers.connections: must be from 16",
		good + "queue_kb = 3\n":                                                                           "peers.queue_kb: must be from 64",
		good + "[peers.keys]\nca = \"x\"\n":                                                               "peers.plain: excludes",
		good + "[[peers.seed]]\naddress = \"127.0.0.1:1\"\n":                                              "peers.seed[0].name: missing",
		good + "[[peers.seed]]\nname = \"n1\"\naddress = \"x\"\n":                                         "peers.seed[0].address: not an address",
		good + strings.Repeat("[[peers.seed]]\nname = \"n1\"\naddress = \"x:1\"\n", 65):                   "peers.seed: at most 64",
	} {
		if _, err := Parse("o.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s\nsays %v, want %s", text, err, want)
		}
	}
}
