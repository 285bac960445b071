package cli

import (
	"fmt"
	"os"
	"strings"

	"fulmarrun/config"
	"fulmarrun/platform"
	"fulmarrun/platformwire"
)

// platformChecker returns the function that checks one configuration of the platform.
func (c *checkCommand) platformChecker() (func(name string) (checkResult, error), error) {
	var previous *platform.ConfigFile
	if c.Against != "" {
		var err error
		if previous, err = readConfig(c.Against); err != nil {
			return nil, err
		}
		// Only the types of the previous file must be right: a replacement may mend the rest.
		if !previous.Decoded {
			return nil, fmt.Errorf("check file: %w", &config.InvalidError{Problems: previous.Problems})
		}
	}
	return func(name string) (checkResult, error) {
		file, err := readConfig(name)
		if err != nil {
			return checkResult{}, err
		}
		var differences []platform.Difference
		if previous != nil && file.Decoded {
			differences = file.Compare(previous)
		}
		result := newPlatformResult(name, file)
		result.Differences = differences
		return result, nil
	}, nil
}

func readConfig(name string) (*platform.ConfigFile, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return platform.ReadConfig(name, data), nil
}

func newPlatformResult(name string, file *platform.ConfigFile) checkResult {
	result := checkResult{
		File: name, OK: len(file.Problems) == 0, Problems: append(config.Problems{}, file.Problems...), Remarks: file.Remarks,
	}
	if result.OK {
		result.countParts(&file.Config)
	}
	return result
}

func (r *checkResult) countParts(m *platformwire.Config) {
	r.Services, r.Teams = len(m.Services), len(m.Teams)
	for i := range m.Hosts {
		r.Kinds += len(m.Hosts[i].Routes)
	}
}

// platformReport returns the remarks and the differences as text. It is empty unless the file is a
// configuration of the platform.
func (c *checkCommand) platformReport(result *checkResult) string {
	if !c.Platform {
		return ""
	}
	var text strings.Builder
	for _, remark := range result.Remarks {
		fmt.Fprintf(&text, "remark: %s\n", remark)
	}
	for _, difference := range result.Differences {
		fmt.Fprintf(&text, "%s\n", difference)
	}
	if c.Against != "" && len(result.Differences) == 0 && result.OK {
		fmt.Fprintf(&text, "no difference from %s\n", c.Against)
	}
	return text.String()
}
