// Command molepaddle runs one load-balancing agent, and the commands that operate it.
// EDGE_CONFIG names the platform's configuration file; --operator names the operator's file, which
// enables optional features.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"molepaddle/internal/process/agent"
	"molepaddle/internal/process/config"
	"molepaddle/internal/process/handover"
	"molepaddle/internal/process/keys"
	"molepaddle/internal/process/logging"
	"molepaddle/internal/process/management"
	"molepaddle/internal/process/operator"
	"molepaddle/internal/protocol/sockets"
	"molepaddle/internal/rig/demo"
)

// Exit codes, documented in docs/operators/commands.md.
const (
	exitFailed      = 1
	exitUsage       = 2   // invalid command line
	exitViolation   = 3   // a lab run violated a rule, or is void
	exitInterrupted = 130 // 128 + SIGINT, as shells report it
)

// usageError is an error in the command line.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// errViolation is returned by a lab command that has already printed the reason.
var errViolation = errors.New("a rule was broken, or a play does not count")

func main() {
	err := run(os.Args[1:], os.Stdout)
	if err == nil {
		return
	}
	if errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "molepaddle: interrupted")
		os.Exit(exitInterrupted)
	}
	fmt.Fprintln(os.Stderr, "molepaddle:", err)
	var usage usageError
	switch {
	case errors.As(err, &usage):
		os.Exit(exitUsage)
	case errors.Is(err, errViolation):
		os.Exit(exitViolation)
	}
	os.Exit(exitFailed)
}

// run executes the command line given by args.
func run(args []string, out io.Writer) error {
	root := newRootCommand(out)
	root.SetArgs(args)
	return root.ExecuteContext(context.Background())
}

// checkArgs returns a check of positional arguments whose error is a one-line usageError.
func checkArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usageError{fmt.Errorf("%s: %w; see --help", cmd.CommandPath(), err)}
		}
		return nil
	}
}

// noArgs rejects positional arguments.
func noArgs(cmd *cobra.Command, args []string) error {
	switch {
	case len(args) == 0:
		return nil
	case cmd.HasSubCommands():
		return fmt.Errorf("%q is no command", args[0])
	}
	return fmt.Errorf("%q is not understood", args[0])
}

// untilSignal returns a command function whose context is canceled by SIGTERM or SIGINT.
func untilSignal(do func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(_ *cobra.Command, args []string) error {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		return do(ctx, args)
	}
}

// newRootCommand returns the root newRootCommand with all subcommands.
func newRootCommand(out io.Writer) *cobra.Command {
	file, asJSON, days := "", false, 365
	root := &cobra.Command{
		Use:           "molepaddle",
		Short:         "A load-balancing agent, configured by the file that EDGE_CONFIG names",
		Long:          "Without a command it runs the agent, configured by the file that EDGE_CONFIG names. SIGTERM ends it\nafter all pending requests are answered; SIGHUP reloads its files.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          checkArgs(noArgs),
		RunE:          func(*cobra.Command, []string) error { return serve(file) },
	}
	root.SetOut(out)
	root.SetErr(out)
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return usageError{fmt.Errorf("%s: %w; see --help", cmd.CommandPath(), err)}
	})
	operatorFlag := func(cmd *cobra.Command) {
		cmd.Flags().StringVar(&file, "operator", "", "the operator's file")
	}
	operatorFlag(root)
	check := &cobra.Command{Use: "check", Short: "Read both files and print the enabled features", Args: checkArgs(noArgs),
		RunE: func(*cobra.Command, []string) error { return printCheck(file, out) }}
	operatorFlag(check)
	link := &cobra.Command{Use: "link", Short: "Show the links of a running gateway", Args: checkArgs(noArgs),
		RunE: func(*cobra.Command, []string) error { return showLink(file, asJSON, out) }}
	operatorFlag(link)
	link.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	keysCmd := &cobra.Command{Use: "keys", Short: "Create or show certificates of links", Args: checkArgs(noArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	makeCmd := &cobra.Command{Use: "make DIR NAME...", Short: "Create a certificate authority and certificates for a trial set-up",
		Args: checkArgs(cobra.MinimumNArgs(2)),
		RunE: func(_ *cobra.Command, args []string) error { return makeKeys(args, days, out) }}
	makeCmd.Flags().IntVar(&days, "days", days, "validity of the certificates, in days")
	show := &cobra.Command{Use: "show FILE...", Short: "Show the certificates in a file and when they expire",
		Args: checkArgs(cobra.MinimumNArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error { return showKeys(args, out) }}
	keysCmd.AddCommand(makeCmd, show)
	root.AddCommand(check, link, keysCmd, labCommand(out), fleetCommand(out), workCommand(out), promisesCommand(out),
		&cobra.Command{Use: "demo", Short: "Run demo scenes on loopback with fake servers", Args: checkArgs(noArgs),
			RunE: untilSignal(func(ctx context.Context, _ []string) error { return demo.Run(ctx, out) })},
		&cobra.Command{Use: "standin ROSTER SERVER...", Short: "Run a fake roster and fake order servers on loopback, for trials",
			Args: checkArgs(cobra.MinimumNArgs(2)),
			Long: "Each is named by its address on loopback. Lines on standard input change a server's health:\n'drain ADDRESS', 'ready ADDRESS'.",
			RunE: untilSignal(func(ctx context.Context, args []string) error { return runFakeServers(ctx, args, os.Stdin, out) })},
		&cobra.Command{Use: "version", Short: "Print the version, the commit and the Go version", Args: checkArgs(noArgs),
			RunE: func(*cobra.Command, []string) error { fmt.Fprintln(out, version()); return nil }})
	return root
}

// listenUnix listens on a Unix socket. It replaces the stale socket file of a killed process, and
// returns an error if a process still accepts connections there.
func listenUnix(path string) (net.Listener, error) {
	ln, err := net.Listen("unix", path)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return ln, err
	}
	c, dialed := net.DialTimeout("unix", path, time.Second)
	if dialed == nil {
		c.Close()
		return nil, err
	}
	if !errors.Is(dialed, syscall.ECONNREFUSED) || os.Remove(path) != nil {
		return nil, err
	}
	return net.Listen("unix", path)
}

// showLink prints the link status of a running gateway.
func showLink(file string, asJSON bool, out io.Writer) error {
	oper, err := operator.Load(file)
	if err != nil {
		return err
	}
	if oper.Gateway.Status == "" {
		return errors.New("the operator's file names no gateway.status socket")
	}
	s, err := agent.ReadStatus(oper.Gateway.Status)
	if err != nil {
		return fmt.Errorf("gateway.status: %w", err)
	}
	if asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", " ")
		return enc.Encode(s)
	}
	s.Print(out)
	return nil
}

// makeKeys creates a certificate authority in the directory args[0], and a certificate for each further name.
func makeKeys(args []string, days int, out io.Writer) error {
	if days <= 0 {
		return usageError{fmt.Errorf("keys make: --days must be above 0, is %d", days)}
	}
	if err := keys.Generate(args[0], args[1:], time.Duration(days)*24*time.Hour); err != nil {
		return err
	}
	fmt.Fprintf(out, "ca.pem, and for each of %s a .pem and a .key, in %s; %d days\n", strings.Join(args[1:], ", "), args[0], days)
	return nil
}

// showKeys prints the certificates in the files.
func showKeys(files []string, out io.Writer) error {
	for _, file := range files {
		lines, err := keys.Describe(file)
		if err != nil {
			return err
		}
		for _, line := range lines {
			fmt.Fprintf(out, "%s: %s\n", file, line)
		}
	}
	return nil
}

// loadFiles reads the operator's file at the path file, and the configuration that EDGE_CONFIG names.
func loadFiles(file string) (*config.Config, *operator.Settings, error) {
	oper, err := operator.Load(file)
	if err != nil {
		return nil, nil, err
	}
	conf, err := config.Load(os.Getenv("EDGE_CONFIG"))
	return conf, oper, err
}

// reloadFiles reads both files for a reload of the running agent, whose configuration is old.
func reloadFiles(old *config.Config, file string) (*config.Config, *operator.Settings, error) {
	oper, err := operator.Load(file)
	if err != nil {
		return nil, nil, err
	}
	conf, err := config.LoadUpdate(old, os.Getenv("EDGE_CONFIG"))
	return conf, oper, err
}

// printCheck prints what an agent started with these files would do.
func printCheck(file string, out io.Writer) error {
	conf, oper, err := loadFiles(file)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s listens on %s, asks the roster at %s, knows %d servers, %d classes\n",
		conf.Name, conf.Listen, conf.Discovery, len(conf.InitialList.Servers), len(conf.Classes))
	on := oper.Describe()
	for _, line := range on {
		fmt.Fprintln(out, "on:", line)
	}
	if len(on) == 0 {
		fmt.Fprintln(out, "on: nothing beyond the defaults")
	}
	return nil
}

// version returns the module's version, the commit it was built from and the Go version.
func version() string {
	text := "molepaddle"
	if info, ok := debug.ReadBuildInfo(); ok {
		text += " " + info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
				text += " " + s.Key[4:] + "=" + s.Value
			}
		}
		text += " " + info.GoVersion
	}
	return text
}

// openListeners opens all listeners for clients: those for HTTP, then those for FastCGI. It uses listeners that
// the predecessor has handed over as they are.
func openListeners(conf *config.Config, oper *operator.Settings, prior *handover.Successor) (all []net.Listener, err error) {
	defer func() {
		if err != nil {
			for _, ln := range all {
				ln.Close()
			}
		}
	}()
	listenOne := func(network, address string) (net.Listener, error) {
		if prior != nil {
			if ln := prior.Listener(network, address); ln != nil {
				return ln, nil
			}
		}
		var open net.ListenConfig
		if conf.Management != "" && network == "tcp" {
			open.Control = sockets.Shared
		}
		return open.Listen(context.Background(), network, address)
	}
	ln, err := listenOne("tcp", conf.Listen)
	if err != nil {
		return nil, fmt.Errorf("config: listen: %w", err)
	}
	all = append(all, ln)
	for _, front := range []struct {
		table string
		at    []operator.Listen
	}{{"http", oper.Front.HTTP.Listen}, {"fastcgi", oper.Front.FastCGI.Listen}} {
		for i, l := range front.at {
			ln, err := listenOne(l.NetworkAddress())
			if err != nil {
				return all, fmt.Errorf("operator: front.%s.listen[%d]: %w", front.table, i, err)
			}
			all = append(all, ln)
		}
	}
	return all, nil
}

// serve runs the agent until SIGTERM or SIGINT.
func serve(file string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	conf, oper, err := loadFiles(file)
	if err != nil {
		return err
	}
	// The machine may have more cores than the agent may use; threads beyond that number would only
	// wait for each other.
	runtime.GOMAXPROCS(max(int(math.Ceil(conf.Limits.Cores)), 1))
	limitMemory(conf.Limits.MemoryMB)
	log := logging.New(os.Stderr, oper.Log).With("agent", conf.Name)
	prior, path := findPredecessor(conf, log)
	if prior != nil {
		defer prior.Close()
		conf = agent.WithEndpoints(conf, prior.State.Endpoints)
	}
	listeners, err := openListeners(conf, oper, prior)
	if err != nil {
		return err
	}
	var status net.Listener
	if at := oper.Gateway.Status; at != "" && oper.Gateway.On() {
		if status, err = listenUnix(at); err != nil {
			return fmt.Errorf("operator: gateway.status: %w", err)
		}
		defer status.Close()
	}
	clients := listeners[:1+len(oper.Front.HTTP.Listen)]
	network := agent.Network{FastCGI: listeners[len(clients):]}
	if at := oper.Gateway.Listen; at != "" {
		if network.Links, err = net.Listen("tcp", at); err != nil {
			return fmt.Errorf("operator: gateway.listen: %w", err)
		}
	}
	a, err := agent.New(conf, oper, network, log)
	if err != nil {
		return err
	}
	if status != nil {
		go a.ServeStatus(status)
	}
	if conf.Management != "" {
		ln, err := net.Listen("tcp", conf.Management)
		if err != nil {
			return fmt.Errorf("config: management: %w", err)
		}
		managementServer := management.New(a.Lifecycle(), a.Ready, log)
		defer managementServer.Close()
		for pattern, h := range a.FleetHandlers() {
			managementServer.Handle(pattern, h)
		}
		go func() { _ = managementServer.Serve(ln) }()
	}
	go func() {
		now := conf
		for range reload {
			next, nextOper, err := reloadFiles(now, file)
			if err == nil {
				err = a.Reload(next, nextOper)
			}
			if err != nil {
				log.Error("reload failed; keeping the current configuration", "err", err)
				continue
			}
			now = next
		}
	}()
	if prior != nil {
		takeOver(ctx, a, conf, prior, log)
	}
	if at := oper.Peers.Listen; at != "" {
		open := func() (net.Listener, error) { return net.Listen("tcp", at) }
		if prior == nil {
			ln, err := open()
			if err != nil {
				return fmt.Errorf("operator: peers.listen: %w", err)
			}
			open = func() (net.Listener, error) { return ln, nil }
		}
		go a.ServePeers(ctx, open)
	}
	if path != "" {
		offer, err := handover.NewOffer(path, &handoverSource{a, conf}, listeners)
		if err != nil {
			log.Warn("handover offer failed; no successor can take over from this process", "err", err)
		} else {
			defer offer.Close()
		}
	}
	log.Info("started", "listen", conf.Listen, "backends", len(conf.InitialList.Servers))
	for _, line := range oper.Describe() {
		log.Info("on: " + line)
	}
	if err := a.Serve(ctx, clients...); err != nil {
		return err
	}
	log.Info("ended")
	return nil
}

// findPredecessor returns the process that this one replaces, or nil, and the path of the socket at which this
// process offers itself to a successor. There is no handover without a management address.
func findPredecessor(conf *config.Config, log *slog.Logger) (*handover.Successor, string) {
	if conf.Management == "" {
		return nil, ""
	}
	path := handover.Path(os.Getenv("TMPDIR"), conf.Listen)
	prior, err := handover.Connect(path)
	if err != nil && !errors.Is(err, handover.ErrNoPredecessor) {
		log.Warn("cannot contact the predecessor; starting without a handover", "err", err)
	}
	return prior, path
}

// takeOver takes over from the predecessor once the agent has a server to send to. The two processes
// share the limits for as long as the predecessor runs.
func takeOver(ctx context.Context, a *agent.Agent, conf *config.Config, prior *handover.Successor, log *slog.Logger) {
	(&handoverSource{a, conf}).Share(true)
	for wait := time.NewTicker(5 * time.Millisecond); !a.Ready() && ctx.Err() == nil; <-wait.C {
	}
	state, err := prior.Take()
	if err != nil { // the predecessor has exited: use the state that it sent on connect
		log.Warn("handover failed; using the state that the predecessor sent first", "err", err)
		state = prior.State
	}
	a.Adopt(state)
	log.Info("handover: completed", "servers", len(state.Endpoints.List.Servers), "ids", len(state.IDs.Recent)+len(state.IDs.Older))
	go func() {
		prior.Follow(a.RecordIDs)
		(&handoverSource{a, conf}).Share(false)
	}()
}

// handoverSource is an agent that shares its limits with its successor, including the memory limit of the Go runtime.
type handoverSource struct {
	*agent.Agent
	conf *config.Config
}

// Share halves the limits while another process uses the other half.
func (s *handoverSource) Share(half bool) {
	memory := s.conf.Limits.MemoryMB
	if half {
		memory /= 2
	}
	limitMemory(memory)
	s.Agent.Share(half)
}

// limitMemory sets the targets of the garbage collector. An agent has 1 to 2 MB of live data, and most agents
// have little traffic. With a GC percentage of 400, the first collection came at a heap of 16 MB, which an
// agent with little traffic takes minutes to reach; every agent of a fleet grew for that long. With 100 (and
// Go's minimum heap of 4 MB) an agent reaches its final size sooner, and answers are forwarded as fast as before.
func limitMemory(memoryMB float64) {
	debug.SetGCPercent(100)
	debug.SetMemoryLimit(int64(memoryMB * 0.6 * (1 << 20)))
}
