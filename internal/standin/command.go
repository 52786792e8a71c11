package standin

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// defaultTokens is the default number of tokens of a streamed response.
const defaultTokens = 16

// Command returns the command line of hoist-standin.
func Command() *cli.Command {
	return &cli.Command{
		Name:     "hoist-standin",
		Usage:    "emulate the platform and upstreams, generate load and measure overhead",
		Commands: []*cli.Command{platformCommand(), upstreamsCommand(), loadCommand(), overheadCommand()},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve routes, pools and the VM list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true},
			&cli.StringFlag{Name: "routes", Required: true},
			&cli.StringFlag{Name: "pools", Required: true},
			&cli.StringFlag{Name: "vms", Required: true},
			&cli.DurationFlag{Name: "list-lag", Usage: "delay before changes of the VM list become visible"},
		},
		Action: runPlatform,
	}
}

func upstreamsCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstreams",
		Usage: "serve emulated upstreams for a pools table",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "routes", Required: true},
			&cli.StringFlag{Name: "pools", Required: true},
			&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond},
			&cli.StringFlag{Name: "behaviour", Usage: "initial behaviour of all upstreams, as JSON"},
			&cli.StringSliceFlag{Name: "only", Usage: "serve only these upstreams"},
			&cli.StringSliceFlag{Name: "except", Usage: "do not serve these upstreams"},
		},
		Action: runUpstreams,
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "generate open-loop load and write a summary",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Required: true, Usage: "address of a gateway"},
			&cli.StringSliceFlag{Name: "route", Usage: "route to request; all routes of the table if unset"},
			&cli.StringFlag{Name: "routes", Required: true},
			&cli.StringFlag{Name: "pools", Required: true},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "requests per second"},
			&cli.IntFlag{Name: "count", Value: 100, Usage: "number of requests"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.BoolFlag{Name: "keys", Usage: "add an idempotency key to each request"},
			&cli.IntFlag{Name: "resends", Usage: "number of additional sends of each request"},
			&cli.IntFlag{Name: "body-bytes", Usage: "pad request bodies to this size in bytes"},
			&cli.DurationFlag{Name: "timeout", Value: 20 * time.Second},
			&cli.StringFlag{Name: "summary", Usage: "file for the summary; standard output if unset"},
		},
		Action: runLoad,
	}
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	platform := NewPlatform()
	for _, name := range []string{"routes", "pools", "vms"} {
		data, err := os.ReadFile(command.String(name))
		if err != nil {
			return err
		}
		platform.publish(name, data)
	}
	platform.vmListLag = command.Duration("list-lag")
	server := &fasthttp.Server{Handler: platform.Handle, CloseOnShutdown: true}
	serveError := make(chan error, 1)
	go func() { serveError <- server.ListenAndServe(command.String("listen")) }()
	select {
	case err := <-serveError:
		return err
	case <-ctx.Done():
		return nil
	}
}

func loadTables(command *cli.Command) (*table.Tables, error) {
	routes, err := os.ReadFile(command.String("routes"))
	if err != nil {
		return nil, err
	}
	pools, err := os.ReadFile(command.String("pools"))
	if err != nil {
		return nil, err
	}
	return table.Load(command.String("routes"), routes, command.String("pools"), pools)
}

func runUpstreams(ctx context.Context, command *cli.Command) error {
	tables, err := loadTables(command)
	if err != nil {
		return err
	}
	behaviour := Behaviour{ServiceTime: Duration(command.Duration("service-time")), Tokens: defaultTokens}
	if text := command.String("behaviour"); text != "" {
		if err := json.Unmarshal([]byte(text), &behaviour); err != nil {
			return errors.Wrap(err, "parse behaviour")
		}
	}
	only, except := command.StringSlice("only"), command.StringSlice("except")
	serveErrors := make(chan error, 1)
	for p := range tables.Pools.Pools {
		pool := &tables.Pools.Pools[p]
		for _, entry := range pool.Upstreams {
			if len(only) > 0 && !slices.Contains(only, entry.Name) || slices.Contains(except, entry.Name) {
				continue
			}
			upstream := NewUpstream(entry, pool, behaviour)
			go func() { serveErrors <- upstream.Serve() }()
		}
	}
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
		return nil
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	tables, err := loadTables(command)
	if err != nil {
		return err
	}
	generator := &LoadGenerator{
		Targets: command.StringSlice("target"), Routes: command.StringSlice("route"), RoutesTable: tables.Routes,
		Rate: command.Float("rate"), Count: command.Int("count"), Seed: command.Uint64("seed"),
		IdempotencyKeys: command.Bool("keys"), Resends: command.Int("resends"),
		Timeout: command.Duration("timeout"), BodyBytes: command.Int("body-bytes"),
	}
	for _, workspace := range tables.Routes.Workspaces {
		generator.Workspaces = append(generator.Workspaces, workspace.Name)
	}
	if len(generator.Routes) == 0 {
		for _, route := range tables.Routes.Routes {
			generator.Routes = append(generator.Routes, route.Name)
		}
	}
	data, err := json.MarshalIndent(generator.Run(ctx), "", "  ")
	if err != nil {
		return err
	}
	if file := command.String("summary"); file != "" {
		return os.WriteFile(file, append(data, '\n'), 0o644)
	}
	_, err = os.Stdout.Write(append(data, '\n'))
	return err
}
