package cli

import (
	"fmt"
	"runtime/debug"
)

const versionHelp = `Print the version of the program, the revision that it was built from, and the version of the Go compiler.

Example:
$ fulmarrun version --json`

type versionCommand struct {
	jsonOption
	app *App
}

// versionInfo is the result of the command version.
type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

// Execute runs the command.
func (c *versionCommand) Execute([]string) error {
	v := readVersion()
	if c.JSON {
		return c.app.printJSON(v)
	}
	modified := ""
	if v.Modified {
		modified = ", modified"
	}
	return c.app.print(fmt.Sprintf("fulmarrun %s (revision %s%s, %s)\n", v.Version, v.Revision, modified, v.Go))
}

func readVersion() versionInfo {
	v := versionInfo{Version: "unknown", Revision: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Version, v.Go = info.Main.Version, info.GoVersion
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			v.Revision = setting.Value
		case "vcs.modified":
			v.Modified = setting.Value == "true"
		}
	}
	return v
}
