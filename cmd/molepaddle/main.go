// Command molepaddle is one load-balancing agent on real sockets. Its file of settings is
// named by EDGE_CONFIG, what an installation switches on beyond it by --operator.
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

// Exit codes. docs/operators/commands.md tells them.
const (
	exitFailed      = 1
	exitUsage       = 2   // the command line makes no sense
	exitBroken      = 3   // the lab saw a broken rule, or a play that does not count
	exitInterrupted = 130 // as a shell says of SIGINT
)

// usageError is one of the command line.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// errBroken ends a command of the lab that has said why.
var errBroken = errors.New("a rule was broken, or a play does not count")

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
	case errors.Is(err, errBroken):
		os.Exit(exitBroken)
	}
	os.Exit(exitFailed)
}

// run does what the command line asks for.
func run(args []string, out io.Writer) error {
	root := command(out)
	root.SetArgs(args)
	return root.ExecuteContext(context.Background())
}

// taking words what is wrong with a command's arguments in one line.
func taking(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usageError{fmt.Errorf("%s: %w; --help tells the usage", cmd.CommandPath(), err)}
		}
		return nil
	}
}

// noArgs takes none.
func noArgs(cmd *cobra.Command, args []string) error {
	switch {
	case len(args) == 0:
		return nil
	case cmd.HasSubCommands():
		return fmt.Errorf("%q is no command", args[0])
	}
	return fmt.Errorf("%q is not understood", args[0])
}

// untilSignal ends a command's context at SIGTERM and SIGINT.
func untilSignal(do func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(_ *cobra.Command, args []string) error {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		return do(ctx, args)
	}
}

// command is the whole command line.
func command(out io.Writer) *cobra.Command {
	file, asJSON, days := "", false, 365
	root := &cobra.Command{
		Use:           "molepaddle",
		Short:         "A load-balancing agent, told by the file that EDGE_CONFIG names",
		Long:          "Without a command it is the agent, told by the file that EDGE_CONFIG names. SIGTERM ends it when\nall that it holds is answered, SIGHUP reads its files anew.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          taking(noArgs),
		RunE:          func(*cobra.Command, []string) error { return serve(file) },
	}
	root.SetOut(out)
	root.SetErr(out)
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return usageError{fmt.Errorf("%s: %w; --help tells the usage", cmd.CommandPath(), err)}
	})
	operatorFlag := func(cmd *cobra.Command) {
		cmd.Flags().StringVar(&file, "operator", "", "the operator's file")
	}
	operatorFlag(root)
	check := &cobra.Command{Use: "check", Short: "Read both files and say what is on", Args: taking(noArgs),
		RunE: func(*cobra.Command, []string) error { return check(file, out) }}
	operatorFlag(check)
	link := &cobra.Command{Use: "link", Short: "Say what a running gateway holds of links", Args: taking(noArgs),
		RunE: func(*cobra.Command, []string) error { return showLink(file, asJSON, out) }}
	operatorFlag(link)
	link.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	keysCmd := &cobra.Command{Use: "keys", Short: "Make or show certificates of links", Args: taking(noArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	make_ := &cobra.Command{Use: "make DIR NAME...", Short: "An authority and certificates for a trial set-up", Args: taking(cobra.MinimumNArgs(2)),
		RunE: func(_ *cobra.Command, args []string) error { return makeKeys(args, days, out) }}
	make_.Flags().IntVar(&days, "days", days, "that they last")
	show := &cobra.Command{Use: "show FILE...", Short: "What certificates a file holds, and when they end", Args: taking(cobra.MinimumNArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error { return showKeys(args, out) }}
	keysCmd.AddCommand(make_, show)
	root.AddCommand(check, link, keysCmd, labCommand(out), fleetCommand(out), workCommand(out), promisesCommand(out),
		&cobra.Command{Use: "demo", Short: "Play scenes on loopback with stand-ins", Args: taking(noArgs),
			RunE: untilSignal(func(ctx context.Context, _ []string) error { return demo.Run(ctx, out) })},
		&cobra.Command{Use: "standin ROSTER SERVER...", Short: "A roster and order servers on loopback, for trials", Args: taking(cobra.MinimumNArgs(2)),
			Long: "Each is named by its address on loopback. Lines on standard input change the list:\n'drain ADDRESS', 'ready ADDRESS'.",
			RunE: untilSignal(func(ctx context.Context, args []string) error { return playServers(ctx, args, os.Stdin, out) })},
		&cobra.Command{Use: "version", Short: "Tell the version and what it was built from", Args: taking(noArgs),
			RunE: func(*cobra.Command, []string) error { fmt.Fprintln(out, version()); return nil }})
	return root
}

// listenUnix listens on a Unix socket. A file that a killed process has left there is
// replaced; one at which somebody answers is an error.
func listenUnix(at string) (net.Listener, error) {
	ln, err := net.Listen("unix", at)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return ln, err
	}
	c, dialed := net.DialTimeout("unix", at, time.Second)
	if dialed == nil {
		c.Close()
		return nil, err
	}
	if !errors.Is(dialed, syscall.ECONNREFUSED) || os.Remove(at) != nil {
		return nil, err
	}
	return net.Listen("unix", at)
}

// showLink prints what a running gateway holds.
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

// makeKeys makes an authority and certificates.
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

// showKeys tells what certificates files hold.
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

// read reads both files.
func read(file string) (*config.Config, *operator.Settings, error) {
	oper, err := operator.Load(file)
	if err != nil {
		return nil, nil, err
	}
	conf, err := config.Load(os.Getenv("EDGE_CONFIG"))
	return conf, oper, err
}

// readAgain reads both files while the agent runs.
func readAgain(old *config.Config, file string) (*config.Config, *operator.Settings, error) {
	oper, err := operator.Load(file)
	if err != nil {
		return nil, nil, err
	}
	conf, err := config.LoadUpdate(old, os.Getenv("EDGE_CONFIG"))
	return conf, oper, err
}

// check says what an agent that is started so would do.
func check(file string, out io.Writer) error {
	conf, oper, err := read(file)
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

// version tells the module's version and the commit it was built from.
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

// listen opens all places where clients connect: HTTP's, then FastCGI's.
// Those that another process has passed are used as they are.
func listen(conf *config.Config, oper *operator.Settings, prior *handover.Successor) (all []net.Listener, err error) {
	defer func() {
		if err != nil {
			for _, ln := range all {
				ln.Close()
			}
		}
	}()
	one := func(network, address string) (net.Listener, error) {
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
	ln, err := one("tcp", conf.Listen)
	if err != nil {
		return nil, fmt.Errorf("config: listen: %w", err)
	}
	all = append(all, ln)
	for _, front := range []struct {
		table string
		at    []operator.Listen
	}{{"http", oper.Front.HTTP.Listen}, {"fastcgi", oper.Front.FastCGI.Listen}} {
		for i, l := range front.at {
			ln, err := one(l.NetworkAddress())
			if err != nil {
				return all, fmt.Errorf("operator: front.%s.listen[%d]: %w", front.table, i, err)
			}
			all = append(all, ln)
		}
	}
	return all, nil
}

// serve is the agent.
func serve(file string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	conf, oper, err := read(file)
	if err != nil {
		return err
	}
	// The machine may have more cores than the agent may use; more threads than cores
	// would only wait for each other.
	runtime.GOMAXPROCS(max(int(math.Ceil(conf.Limits.Cores)), 1))
	bound(conf.Limits.MemoryMB)
	log := logging.New(os.Stderr, oper.Log).With("agent", conf.Name)
	prior, path := predecessor(conf, log)
	if prior != nil {
		defer prior.Close()
		conf = agent.WithEndpoints(conf, prior.State.Endpoints)
	}
	listeners, err := listen(conf, oper, prior)
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
		door := management.New(a.Lifecycle(), a.Ready, log)
		defer door.Close()
		for pattern, h := range a.FleetHandlers() {
			door.Handle(pattern, h)
		}
		go func() { _ = door.Serve(ln) }()
	}
	go func() {
		now := conf
		for range reload {
			next, again, err := readAgain(now, file)
			if err == nil {
				err = a.Reload(next, again)
			}
			if err != nil {
				log.Error("reload: what is at hand is kept", "err", err)
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
		offer, err := handover.NewOffer(path, &source{a, conf}, listeners)
		if err != nil {
			log.Warn("another process can't take over", "err", err)
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

// predecessor finds the process that this one replaces, and where this one is found in its turn;
// without a door for operators nobody replaces it.
func predecessor(conf *config.Config, log *slog.Logger) (*handover.Successor, string) {
	if conf.Management == "" {
		return nil, ""
	}
	path := handover.Path(os.Getenv("TMPDIR"), conf.Listen)
	prior, err := handover.Connect(path)
	if err != nil && !errors.Is(err, handover.ErrNoPredecessor) {
		log.Warn("starting beside what may be there", "err", err)
	}
	return prior, path
}

// takeOver takes over from the first process once there is a server to send to, and shares the
// limits with it as long as it is there.
func takeOver(ctx context.Context, a *agent.Agent, conf *config.Config, prior *handover.Successor, log *slog.Logger) {
	(&source{a, conf}).Share(true)
	for wait := time.NewTicker(5 * time.Millisecond); !a.Ready() && ctx.Err() == nil; <-wait.C {
	}
	state, err := prior.Take()
	if err != nil { // it has gone: what it said first is what is known
		log.Warn("the first process has not handed over", "err", err)
		state = prior.State
	}
	a.Adopt(state)
	log.Info("handover: taken over", "servers", len(state.Endpoints.List.Servers), "ids", len(state.IDs.Recent)+len(state.IDs.Older))
	go func() {
		prior.Follow(a.RecordIDs)
		(&source{a, conf}).Share(false)
	}()
}

// source is the agent as its successor shares limits with it, the runtime's included.
type source struct {
	*agent.Agent
	conf *config.Config
}

func (s *source) Share(half bool) {
	memory := s.conf.Limits.MemoryMB
	if half {
		memory /= 2
	}
	bound(memory)
	s.Agent.Share(half)
}

// bound sets when garbage is collected. An agent holds a MB or two and most have little traffic: at
// the four times that it used to let pass, the first collection came at 16 MB, which a quiet agent
// fills in minutes, and each of a fleet's agents grew all that time. At once as much as is held, 4 MB
// at the least, it has its size in a part of that, and answers are passed on as soon as before.
func bound(memoryMB float64) {
	debug.SetGCPercent(100)
	debug.SetMemoryLimit(int64(memoryMB * 0.6 * (1 << 20)))
}
