package config

import (
	"bytes"
	_ "embed"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/tailscale/hujson"
)

//go:embed file.schema.json
var fileSchema []byte

//go:embed settings.schema.json
var settingsSchema []byte

// schemaURL is the URL under which the schema is added to its compiler.
const schemaURL = "urn:fulmarrun:config"

// validate reports each violation of the schema.
func (d *document) validate(schema []byte) error {
	compiled, err := compileSchema(schema)
	if err != nil {
		return err
	}
	instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(d.plainJSON))
	if err != nil {
		return fmt.Errorf("read %s: %w", d.name, err)
	}
	var invalid *jsonschema.ValidationError
	if err := compiled.Validate(instance); errors.As(err, &invalid) {
		d.reportInvalid(invalid, schema)
	} else if err != nil {
		return fmt.Errorf("validate %s: %w", d.name, err)
	}
	return nil
}

func compileSchema(schema []byte) (*jsonschema.Schema, error) {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, fmt.Errorf("read schema: %w", err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, parsed); err != nil {
		return nil, fmt.Errorf("add schema: %w", err)
	}
	compiled, err := compiler.Compile(schemaURL)
	if err != nil {
		return nil, fmt.Errorf("compile schema: %w", err)
	}
	return compiled, nil
}

// reportInvalid adds a problem for each innermost cause of a validation error.
func (d *document) reportInvalid(invalid *jsonschema.ValidationError, schema []byte) {
	if len(invalid.Causes) > 0 {
		for _, cause := range invalid.Causes {
			d.reportInvalid(cause, schema)
		}
		return
	}
	var pointer strings.Builder
	for _, part := range invalid.InstanceLocation {
		pointer.WriteString("/" + escapePointerToken(part))
	}
	pointerText := pointer.String()
	switch k := invalid.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		want := "one of the fields " + knownFields(schema, invalid.SchemaURL)
		for _, name := range k.Properties {
			d.reportMemberName(pointerText, name, want)
		}
	case *kind.Required:
		for _, name := range k.Missing {
			d.report(pointerText, "a field "+quoted(name), "none")
		}
	case *kind.Type:
		d.reportValue(pointerText, "a value of type "+strings.Join(k.Want, " or "))
	default:
		d.reportValue(pointerText, expectedText(invalid.ErrorKind, schema, invalid.SchemaURL))
	}
}

// expectedText describes in words what a violated schema keyword requires.
func expectedText(k jsonschema.ErrorKind, schema []byte, url string) string {
	switch k := k.(type) {
	case *kind.Enum:
		values := make([]string, 0, len(k.Want))
		for _, value := range k.Want {
			values = append(values, fmt.Sprintf("%q", value))
		}
		return "one of " + strings.Join(values, ", ")
	case *kind.Minimum:
		return "at least " + k.Want.RatString()
	case *kind.Maximum:
		return "at most " + k.Want.RatString()
	case *kind.MinItems:
		return fmt.Sprintf("at least %d element(s)", k.Want)
	case *kind.MinProperties:
		return fmt.Sprintf("at least %d field(s)", k.Want)
	case *kind.MaxProperties:
		return fmt.Sprintf("at most %d field(s)", k.Want)
	case *kind.UniqueItems:
		return "each element once"
	case *kind.Pattern:
		if hint := description(schema, url); hint != "" {
			return hint
		}
		return "text that matches " + k.Want
	default:
		return fmt.Sprintf("a value that satisfies the schema keyword %q", strings.Join(k.KeywordPath(), "/"))
	}
}

// knownFields returns the sorted names of the properties of the subschema at a
// URL.
func knownFields(schema []byte, url string) string {
	value := schemaValue(schema, url, "/properties")
	if value == nil {
		return ""
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return ""
	}
	names := make([]string, 0, len(object.Members))
	for i := range object.Members {
		names = append(names, literalText(&object.Members[i].Name))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// description returns the description of the subschema at a URL.
func description(schema []byte, url string) string {
	if value := schemaValue(schema, url, "/description"); value != nil {
		return literalText(value)
	}
	return ""
}

func schemaValue(schema []byte, url, pointer string) *hujson.Value {
	root, err := hujson.Parse(schema)
	if err != nil {
		return nil
	}
	_, fragment, _ := strings.Cut(url, "#")
	return root.Find(fragment + pointer)
}

func quoted(name string) string {
	return fmt.Sprintf("%q", name)
}
