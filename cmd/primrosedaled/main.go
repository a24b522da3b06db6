// Command primrosedaled runs one process of the system.
package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"gopkg.in/tomb.v2"

	"primrosedale.example/primrosedale/core/schedule"
	"primrosedale.example/primrosedale/daemon"
	"primrosedale.example/primrosedale/devcluster"
	"primrosedale.example/primrosedale/logevent"
	"primrosedale.example/primrosedale/platform"
	"primrosedale.example/primrosedale/settings"
)

// The exit codes, described in docs/operators/exit-codes.md.
const (
	exitOK       = 0
	exitFailed   = 1 // the process had to stop
	exitUsage    = 2 // the command line is wrong
	exitSettings = 3 // the settings or the data folder are refused
)

const exitCodes = `
exit codes: 0 stopped or done, 1 had to stop, 2 usage, 3 settings or data
folder refused (docs/operators/exit-codes.md)`

// The examples of the subcommands.
const (
	runExample      = "  primrosedaled run --settings /etc/primrosedale/entry-1.toml\n"
	initExample     = "  primrosedaled init --settings /etc/primrosedale/entry-1.toml\n"
	platformExample = "  PRIMROSEDALE_BOOT=/etc/primrosedale/local.toml primrosedaled platform\n"
	devExample      = "  primrosedaled dev\n  primrosedaled dev --data /tmp/new-folder\n"
)

func helpFooter(examples string) string {
	return "\nexamples:\n" + examples + exitCodes
}

func main() {
	os.Exit(run())
}

func run() int {
	var path string
	var folder, on, off string
	parser := flaggy.NewParser("primrosedaled")
	parser.Description = "One process of the primrosedale fleet capacity and maintenance manager."
	parser.AdditionalHelpAppend = helpFooter(devExample + initExample + runExample)
	parser.ShowHelpOnUnexpected = true
	runCommand := subcommand("run", "run this host's process", runExample)
	runCommand.String(&path, "s", "settings", "settings file (TOML)")
	initCommand := subcommand("init", "create the data folder of a first replica; once for each, never to replace a lost disk", initExample)
	initCommand.String(&path, "s", "settings", "settings file (TOML)")
	devCommand := subcommand("dev", "run a whole system on loopback with stand-in targets and workers", devExample)
	devCommand.String(&folder, "d", "data", "new folder for the replicas' data (default: a temporary one)")
	platformCommand := subcommand("platform", "run this machine's process on the users' platform", platformExample)
	platformCommand.String(&path, "s", "settings", "settings file of the platform (default: $"+platform.SettingsVariable+")")
	platformCommand.String(&off, "", "disable", "features to switch off, separated by commas")
	platformCommand.String(&on, "", "enable", "features to switch on that are off by default: contention, pool-trim")
	for _, c := range []*flaggy.Subcommand{runCommand, initCommand, devCommand, platformCommand} {
		parser.AttachSubcommand(c, 1)
	}
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if (runCommand.Used || initCommand.Used) && path == "" {
		fmt.Fprintln(os.Stderr, "give --settings FILE")
		return exitUsage
	}
	switch {
	case runCommand.Used:
		return runDaemon(path)
	case initCommand.Used:
		return initFolder(path)
	case devCommand.Used:
		return runDev(folder)
	case platformCommand.Used:
		return runPlatform(cmp.Or(path, os.Getenv(platform.SettingsVariable)), on, off)
	}
	parser.ShowHelp()
	return exitUsage
}

func subcommand(name, description, example string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	c.AdditionalHelpAppend = helpFooter(example)
	return c
}

// stopContext returns a context that ends at the first SIGTERM or SIGINT.
func stopContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

func runDaemon(path string) int {
	s, err := settings.Load(path)
	if err != nil {
		logRefusedSettings(err)
		return reportSettingsError(err)
	}
	log, err := logevent.New(logevent.Options{
		Out: os.Stderr, Format: logevent.Format(s.Log.Format), Level: s.Log.Level,
	})
	if err != nil {
		return reportSettingsError(err)
	}
	log.Emit(logevent.SettingsLoaded, logevent.Str(logevent.NameFile, path))
	for _, warning := range s.Warnings {
		log.Emit(logevent.SettingsWarning, logevent.Str(logevent.NameReason, warning))
	}
	stop, cancel := stopContext()
	defer cancel()
	d, err := daemon.New(stop, s, log)
	if err != nil {
		return reportSettingsError(err)
	}
	if err := d.Run(&tomb.Tomb{}, stop); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}

// logBufferSize is the size, in bytes, of the buffer for log lines that wait for a
// slow reader.
const logBufferSize = 1 << 20

// runPlatform runs a process on the users' platform, whose logs go to standard
// output, with some features switched on or off.
func runPlatform(path, on, off string) int {
	enabled, err := schedule.ParseFeatures(on)
	if err != nil {
		fmt.Fprintln(os.Stderr, "--enable:", err)
		return exitUsage
	}
	disabled, err := schedule.ParseFeatures(off)
	if err != nil {
		fmt.Fprintln(os.Stderr, "--disable:", err)
		return exitUsage
	}
	out := logevent.NewAsyncWriter(os.Stdout, logBufferSize)
	defer out.Close()
	log, err := logevent.New(logevent.Options{Out: out, Format: logevent.JSON, Level: "info"})
	if err != nil {
		return reportSettingsError(err)
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		log.Emit(logevent.SettingsRefused, logevent.Err(err))
		return reportSettingsError(err)
	}
	s.Bounds.Disabled = schedule.Disabled(enabled, disabled)
	log.Emit(logevent.SettingsLoaded, logevent.Str(logevent.NameFile, path))
	stop, cancel := stopContext()
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	d, err := daemon.NewPlatformDaemon(stop, s, path, log)
	if err != nil {
		log.Emit(logevent.SettingsRefused, logevent.Err(err))
		return reportSettingsError(err)
	}
	if err := d.Run(stop, reload); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}

func initFolder(path string) int {
	s, err := settings.Load(path)
	if err != nil {
		return reportSettingsError(err)
	}
	if err := daemon.Init(s); err != nil {
		return reportSettingsError(err)
	}
	fmt.Printf("created %s for host %s of cluster %s\n", s.DataFolder, s.Host, s.Cluster)
	return exitOK
}

func runDev(folder string) int {
	stop, cancel := stopContext()
	defer cancel()
	if err := devcluster.Run(stop, devcluster.Options{Folder: folder, Out: os.Stdout, Log: os.Stderr}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}

// logRefusedSettings logs in the default format, because the settings that would name
// another one could not be loaded.
func logRefusedSettings(refusal error) {
	log, err := logevent.New(logevent.Options{Out: os.Stderr, Format: logevent.JSON, Level: "info"})
	if err == nil {
		log.Emit(logevent.SettingsRefused, logevent.Err(refusal))
	}
}

func reportSettingsError(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitSettings
}
