package cli

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"fulmarrun/config"
	"fulmarrun/platform"
)

const checkHelp = `Check files without applying them. Each problem is printed with its file, line and column, the expected and the actual value. Nothing is sent to a daemon.

With --against, a file is also checked as a replacement of another file: the number of slots of a service must not change.

With --platform, the files are configurations of the users' platform as JSON with comments. Fields that daemons don't know are remarks, not problems. With --against too, what differs from the other file is printed; keys of teams are counted, never printed.

Examples:
$ fulmarrun check calor-tico.json
$ fulmarrun check --against in-force.json calor-tico.json
$ fulmarrun check --settings agenda-1.json agenda-2.json
$ fulmarrun check --platform --against in-force.json platform.json

The exit code is 3 if a file is invalid.`

type checkCommand struct {
	jsonOption
	Settings bool   `long:"settings" description:"The files are settings of daemons"`
	Platform bool   `long:"platform" description:"The files are configurations of the users' platform"`
	Against  string `long:"against" value-name:"FILE" description:"The file that would be replaced"`
	Files    struct {
		Names []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
	app *App
}

// checkResult is the result of the command check for one file.
type checkResult struct {
	File     string          `json:"file"`
	OK       bool            `json:"ok"`
	Services int             `json:"services"`
	Kinds    int             `json:"kinds"`
	Problems config.Problems `json:"problems"`
	// Teams, Remarks and Differences are only of configurations of the platform.
	Teams       int                   `json:"teams,omitempty"`
	Remarks     config.Problems       `json:"remarks,omitempty"`
	Differences []platform.Difference `json:"differences,omitempty"`
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	check, err := c.checker()
	if err != nil {
		return err
	}
	results := make([]checkResult, 0, len(c.Files.Names))
	var problems config.Problems
	for _, name := range c.Files.Names {
		result, err := check(name)
		if err != nil {
			return err
		}
		results = append(results, result)
		problems = append(problems, result.Problems...)
	}
	if err := c.report(results); err != nil {
		return err
	}
	if len(problems) > 0 {
		return &config.InvalidError{Problems: problems}
	}
	return nil
}

// checker returns the function that checks one file.
func (c *checkCommand) checker() (func(name string) (checkResult, error), error) {
	switch {
	case c.Platform && c.Settings:
		return nil, &flags.Error{Type: flags.ErrInvalidChoice, Message: "--platform and --settings exclude each other"}
	case c.Platform:
		return c.platformChecker()
	}
	var opts []config.Option
	if c.Against != "" {
		previous, err := readFile(c.Against)
		if err != nil {
			return nil, err
		}
		opts = append(opts, config.WithPrevious(previous))
	}
	return func(name string) (checkResult, error) { return c.check(name, opts) }, nil
}

func (c *checkCommand) check(name string, opts []config.Option) (checkResult, error) {
	result := checkResult{File: name, Problems: config.Problems{}}
	data, err := os.ReadFile(name)
	if err != nil {
		return result, fmt.Errorf("read file: %w", err)
	}
	if c.Settings {
		_, err = config.ParseSettings(name, data)
	} else {
		var file *config.File
		if file, err = config.Parse(name, data, opts...); err == nil {
			result.countKinds(file)
		}
	}
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		result.Problems = invalid.Problems
	} else if err != nil {
		return result, fmt.Errorf("check file: %w", err)
	}
	result.OK = err == nil
	return result, nil
}

func (r *checkResult) countKinds(f *config.File) {
	r.Services = len(f.Services)
	for i := range f.Services {
		r.Kinds += len(f.Services[i].Kinds)
	}
}

func (c *checkCommand) report(results []checkResult) error {
	if c.JSON {
		return c.app.printJSON(results)
	}
	for i := range results {
		result := &results[i]
		text := fmt.Sprintf("%s: %d problem(s)\n", result.File, len(result.Problems))
		switch {
		case result.OK && c.Settings:
			text = fmt.Sprintf("%s: ok\n", result.File)
		case result.OK && c.Platform:
			text = fmt.Sprintf("%s: ok, %d service(s), %d kind(s), %d team(s)\n", result.File, result.Services, result.Kinds, result.Teams)
		case result.OK:
			text = fmt.Sprintf("%s: ok, %d service(s), %d kind(s)\n", result.File, result.Services, result.Kinds)
		}
		if err := c.app.print(text + c.platformReport(result)); err != nil {
			return err
		}
	}
	return nil
}

// readFile reads and validates the operators' file with the given name.
func readFile(name string) (*config.File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	file, err := config.Parse(name, data)
	if err != nil {
		return nil, fmt.Errorf("check file: %w", err)
	}
	return file, nil
}
