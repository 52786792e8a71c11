package settings

import (
	"context"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Names of the flags that do not correspond to a setting.
const (
	flagSettings    = "settings"
	flagPrintConfig = "print-config"
)

// Command returns the command of a process with settings of type T. It has one flag and one
// environment variable for each field, a flag for the settings file, and --print-config. The
// command loads the settings and passes them to run.
//
// For example, the field read_timeout of hoist-gateway has the flag --read-timeout and the
// environment variable HOIST_GATEWAY_READ_TIMEOUT.
func Command[T any](name, usage string, defaults T, run func(context.Context, T) error) *cli.Command {
	prefix := variableName(name) + "_"
	flags := []cli.Flag{
		&cli.StringFlag{
			Name: flagSettings, Usage: "settings `FILE` (YAML)",
			Sources: cli.EnvVars(prefix + variableName(flagSettings)),
		},
		&cli.BoolFlag{Name: flagPrintConfig, Usage: "print the effective settings without secrets and exit"},
	}
	for _, f := range fieldsOf(&defaults) {
		flags = append(flags, &cli.StringFlag{
			Name: flagName(f.path), Usage: f.usageText() + " [$" + prefix + variableName(f.path) + "]",
		})
	}
	return &cli.Command{
		Name: name, Usage: usage, Flags: flags,
		Action: func(ctx context.Context, command *cli.Command) error {
			config := defaults
			if command.Args().Present() {
				return errors.Newf("unexpected argument %q", command.Args().First())
			}
			origins, err := loadFromCommand(command, prefix, &config)
			if err != nil {
				return err
			}
			if command.Bool(flagPrintConfig) {
				return printSettings(command.Root().Writer, &config, origins)
			}
			return run(ctx, config)
		},
	}
}

// loadFromCommand loads the settings of a parsed command. An empty environment variable is
// ignored.
func loadFromCommand(command *cli.Command, prefix string, target any) (map[string]string, error) {
	l := loader{path: command.String(flagSettings), overrides: map[string]override{}}
	known := map[string]bool{prefix + variableName(flagSettings): true}
	for _, f := range fieldsOf(target) {
		variable, flag := prefix+variableName(f.path), flagName(f.path)
		known[variable] = true
		if value := os.Getenv(variable); value != "" {
			l.overrides[f.path] = override{value: value, origin: "environment variable " + variable}
		}
		if command.IsSet(flag) {
			l.overrides[f.path] = override{value: command.String(flag), origin: "flag --" + flag}
		}
	}
	if problems := unknownVariables(os.Environ(), prefix, known); len(problems) > 0 {
		return nil, problems
	}
	return l.load(target)
}

// unknownVariables returns a problem for each environment variable that has the prefix but is
// not a setting. A misspelt name would otherwise be ignored silently.
func unknownVariables(environment []string, prefix string, known map[string]bool) Problems {
	var problems Problems
	for _, entry := range environment {
		name, _, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, prefix) && !known[name] {
			problems = append(problems, Problem{
				Origin: "environment variable " + name, Found: "there is no such setting",
				Expected: "one of the variables listed by --help",
			})
		}
	}
	return problems
}

func flagName(path string) string {
	return strings.NewReplacer("_", "-", ".", "-").Replace(path)
}

func variableName(name string) string {
	return strings.ToUpper(strings.NewReplacer("-", "_", ".", "_").Replace(name))
}

// usageText returns the help text of the field's flag.
func (f field) usageText() string {
	if usage := f.tag.Get("usage"); usage != "" {
		return usage
	}
	return "setting " + f.path + " (" + f.expectedValue() + ")"
}
