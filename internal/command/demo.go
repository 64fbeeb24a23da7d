package command

import (
	"context"
	"flag"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"citronslip/internal/config"
	"citronslip/internal/hosts"
	"citronslip/internal/operator"
	"citronslip/internal/router"
	"citronslip/internal/standin"
	"citronslip/pkg/inventory"
)

const (
	// demoHelp is the long help of the demo command.
	demoHelp = `Runs routers and stand-ins for the platform, the model engines and a booking service in one process on
loopback addresses, with a small inventory, and prints curl commands to try. SIGINT or SIGTERM stops it.

Example:
  citronslip demo`

	// demoKey is the API key of the built-in client account.
	demoKey = "demo-key"
	// demoCredential is the operators' bearer credential. It is long, because the client rejects short credentials.
	demoCredential        = "demo-credential-of-an-operator"
	demoReadyTimeout      = 5 * time.Second       // Time for all routers to become ready.
	demoReadyInterval     = 10 * time.Millisecond // Interval of the checks whether they are ready.
	demoShutdownTimeout   = 2 * time.Second       // Timeout of a router's graceful shutdown.
	demoDefaultRouters    = 3
	demoFirstCallerPort   = 18080 // First port for callers; each further router uses the next one.
	demoFirstPeerPort     = 18180 // First port for other routers.
	demoFirstOperatorPort = 18280 // First port for operators.
	demoFirstBackendPort  = 18300 // First port of the model servers; booking servers begin 50 ports later.
	demoPlatformAddress   = "127.0.0.1:18200"
)

type (
	// demo runs a fleet with stand-ins for its backend servers and its platform in one process.
	demo struct {
		std           *streams
		logLevel      string // Minimum level of log lines.
		routerCount   int
		inventoryPath string // File or directory of an inventory; empty means the built-in one.
		platform      *standin.Platform
		backends      *standin.Fleet // Stand-ins for the backend servers.
		inventory     *inventory.Inventory
		routers       []*router.Router // Set by runRouters.
	}
)

// demoCommand returns the command that runs a fleet with stand-ins on loopback addresses.
func demoCommand(std *streams) *ffcli.Command {
	d := &demo{std: std}
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	flags.SetOutput(std.err)
	flags.IntVar(&d.routerCount, "routers", demoDefaultRouters, "number of routers, 1 to 20, unless -inventory is given")
	flags.StringVar(&d.inventoryPath, "inventory", "", "inventory file or directory, such as examples/cooperative; one router runs for each of its hosts")
	flags.StringVar(&d.logLevel, "log", "warn", "minimum level of log lines: debug, info, warn or error")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "citronslip demo [flags]",
		ShortHelp:  "Run a small fleet with stand-ins on loopback.",
		LongHelp:   demoHelp,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("demo takes no arguments, but was given %q", args)}
			}
			if d.routerCount < 1 || d.routerCount > 20 {
				return usageError{fmt.Errorf("-routers: %d is out of range; accepted are 1 to 20", d.routerCount)}
			}
			return d.run(ctx)
		},
	}
}

// run starts the stand-ins and the routers, and returns after all of them have stopped.
func (d *demo) run(ctx context.Context) error {
	level, err := zerolog.ParseLevel(d.logLevel)
	if err != nil {
		return usageError{err}
	}
	logger := zerolog.New(d.std.err).Level(level).With().Timestamp().Logger()
	if err := d.prepareInventory(); err != nil {
		return err
	}
	d.platform = &standin.Platform{}
	d.backends = &standin.Fleet{Inventory: d.inventory}
	if err := d.backends.Start(); err != nil {
		return trace.Wrap(err)
	}
	listener, err := net.Listen("tcp", demoPlatformAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	d.publishHosts()
	if err := d.commitInventory(ctx); err != nil {
		return trace.Wrap(err)
	}
	// The stand-ins run until the routers have stopped, because the routers need them for a graceful shutdown.
	standInCtx, cancelStandIns := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelStandIns()
	group, standInCtx := errgroup.WithContext(standInCtx)
	group.Go(func() error { return standin.Serve(standInCtx, listener, d.platform.Handler()) })
	group.Go(func() error { return d.backends.Run(standInCtx) })
	group.Go(func() error {
		defer cancelStandIns()
		return d.runRouters(ctx, &logger)
	})
	return group.Wait()
}

// runRouters runs the routers until the context is done or one of them fails.
func (d *demo) runRouters(ctx context.Context, logger *zerolog.Logger) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range d.routerCount {
		r := &router.Router{
			Settings:    d.routerSettings(i),
			Logger:      logger,
			Credentials: []operator.Credential{{Name: "demo", Key: inventory.DigestKey(demoCredential)}},
		}
		d.routers = append(d.routers, r)
		group.Go(func() error { return r.Run(ctx) })
	}
	group.Go(func() error { return d.printInstructions(ctx) })
	return group.Wait()
}

// routerSettings returns the settings of the router on the inventory's host with the index.
func (d *demo) routerSettings(index int) router.Settings {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	var settings router.Settings
	settings.Register(flags)
	host := d.inventory.Hosts[index]
	settings.Name = host.Name
	settings.Place = host.Place
	settings.Peer = host.Address
	settings.Listen = fmt.Sprintf("127.0.0.1:%d", demoFirstCallerPort+index)
	settings.Admin = fmt.Sprintf("127.0.0.1:%d", demoFirstOperatorPort+index)
	settings.Seeds = d.inventory.Hosts[0].Address
	settings.Platform = "http://" + demoPlatformAddress
	settings.Grace = demoShutdownTimeout
	return settings
}

// commitInventory commits the inventory as the first configuration version.
func (d *demo) commitInventory(ctx context.Context) error {
	document, err := inventory.Encode(d.inventory)
	if err != nil {
		return trace.Wrap(err)
	}
	store := &config.Store{Table: &d.platform.Table, Objects: &d.platform.Objects}
	_, err = store.Commit(ctx, config.Change{Inventory: document, Identity: "demo", Author: "demo"})
	return trace.Wrap(err)
}

// prepareInventory loads and checks the inventory at inventoryPath and sets routerCount to its number of hosts. Without
// a path it takes the built-in inventory and adds a host for each router.
func (d *demo) prepareInventory() error {
	if d.inventoryPath == "" {
		d.inventory = demoInventory()
		for i := range d.routerCount {
			d.inventory.Hosts = append(d.inventory.Hosts, inventory.Host{
				Name:    fmt.Sprintf("router%d", i+1),
				Place:   d.inventory.Places[i%len(d.inventory.Places)].Name,
				Address: fmt.Sprintf("127.0.0.1:%d", demoFirstPeerPort+i),
			})
		}
		return nil
	}
	document, err := inventory.Load(d.inventoryPath)
	if err != nil {
		return usageError{err}
	}
	if findings := inventory.Check(document, inventory.RuntimeState{}); len(findings) > 0 {
		return usageError{fmt.Errorf("%d findings; see citronslip check %s", len(findings), d.inventoryPath)}
	}
	d.inventory = &document.Inventory
	d.routerCount = len(d.inventory.Hosts)
	return nil
}

// publishHosts sets the host list of the stand-in platform to the inventory's hosts, all of them live.
func (d *demo) publishHosts() {
	var liveHosts []hosts.Host
	for _, host := range d.inventory.Hosts {
		liveHosts = append(liveHosts, hosts.Host{Name: host.Name, Address: host.Address, State: hosts.StateLive, Time: time.Now()})
	}
	d.platform.Hosts.Set(liveHosts)
}

// printInstructions waits until all routers are ready and prints commands to try. It returns an error if they are not
// ready within demoReadyTimeout.
func (d *demo) printInstructions(ctx context.Context) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	for !d.allReady() {
		select {
		case <-timeoutCtx.Done():
			return timeoutCtx.Err()
		case <-time.After(demoReadyInterval):
		}
	}
	fmt.Fprintf(d.std.out, "%d routers serve on 127.0.0.1:%d to %d.", d.routerCount, demoFirstCallerPort, demoFirstCallerPort+d.routerCount-1)
	if d.inventoryPath == "" {
		d.printExampleCalls(d.routerSettings(0).Listen)
	} else {
		fmt.Fprintf(d.std.out, " API keys are in %s.\n", filepath.Join(d.inventoryPath, "keys.txt"))
	}
	fmt.Fprintf(d.std.out, "\n(umask 077; echo %s > demo.credential)\n"+
		"citronslip status -address http://%s -credential demo.credential\n", demoCredential, d.routerSettings(0).Admin)
	return nil
}

// printExampleCalls prints curl commands for the built-in inventory, sent to the router at the address.
func (d *demo) printExampleCalls(address string) {
	fmt.Fprintf(d.std.out, " Try:\n\ncurl http://%s/v1/models -H 'Authorization: Bearer %s'\n\n", address, demoKey)
	fmt.Fprintf(d.std.out, "curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"  -d '{\"model\":\"planner\",\"stream\":true,\"max_tokens\":16,\"messages\":"+
		"[{\"role\":\"user\",\"content\":\"When do I plant tomatoes in Catania?\"}]}'\n\n", address, demoKey)
	fmt.Fprintf(d.std.out, "curl http://%s/booking/visits -H 'Authorization: Bearer %s' \\\n"+
		"  -H 'Idempotency-Key: visit-1' -d '{\"garden\":\"Via Etnea 12\",\"day\":\"Monday\"}'\n", address, demoKey)
}

// allReady reports whether all routers are ready to serve callers.
func (d *demo) allReady() bool {
	for _, r := range d.routers {
		if !r.Ready() {
			return false
		}
	}
	return true
}

// demoInventory returns the built-in inventory without hosts. Its backend servers listen on loopback addresses.
func demoInventory() *inventory.Inventory {
	inv := &inventory.Inventory{
		Places: []inventory.Place{{Name: "catania", Region: "sicily"}, {Name: "palermo", Region: "sicily"}},
		Services: []inventory.Service{
			{Name: "planning", Kind: inventory.KindModel, MinReady: 1},
			{Name: "booking", Kind: inventory.KindPlain, Prefix: "/booking", NonRepeatable: []string{"POST /booking/visits"}, MinReady: 1},
		},
		Models:   []inventory.Model{{Name: "planner", Service: "planning", Version: "1", TemplateOverhead: 64, MaxOutputTokens: 1024, MinReady: 1}},
		Accounts: []inventory.ClientAccount{{Name: "gardens", Keys: []string{inventory.DigestKey(demoKey)}, Weight: 1}},
		Budgets:  []inventory.Budget{{Name: "prepaid", Account: "gardens", Tokens: 10_000_000}},
		Levels:   []inventory.ServiceLevel{{Name: "plans", Model: "planner", Goal: 0.99, MaxTimeToFirstToken: "720ms", MaxTokenGap: "73ms"}},
	}
	for n, class := range []string{"fast", "medium", "slow", "fast"} {
		inv.Backends = append(inv.Backends, inventory.BackendServer{
			Name:            fmt.Sprintf("planner%d", n+1),
			Service:         "planning",
			Place:           inv.Places[n%2].Name,
			Address:         fmt.Sprintf("http://127.0.0.1:%d", demoFirstBackendPort+n),
			Class:           class,
			EnforcesFencing: n%2 == 0,
			Models:          []string{"planner"},
			Role:            inventory.RoleServe,
		})
	}
	for n := range 2 {
		inv.Backends = append(inv.Backends, inventory.BackendServer{
			Name:    fmt.Sprintf("booking%d", n+1),
			Service: "booking",
			Place:   inv.Places[n].Name,
			Address: fmt.Sprintf("http://127.0.0.1:%d", demoFirstBackendPort+50+n),
		})
	}
	return inv
}
