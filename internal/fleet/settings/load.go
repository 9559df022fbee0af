package settings

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// EnvFile is the environment variable with the path of the settings file.
const EnvFile = "MOLEPADDLE_CONFIG"

// FromEnv loads the file whose path is in EnvFile.
func FromEnv() (Settings, error) {
	path := os.Getenv(EnvFile)
	if path == "" {
		return Settings{}, errors.Errorf("%s is not set: it gives the path of the settings file", EnvFile)
	}
	return Load(path)
}

// Load reads and checks the file at path. The error is either of reading the file, or of type Findings.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read the settings file")
	}
	return Parse(path, data)
}

// Parse decodes and checks the settings in data; name is the file's name in the findings. The error is of type Findings
// and has all of them; the settings are valid only if it is nil.
func Parse(name string, data []byte) (Settings, error) {
	var values map[string]any
	if err := toml.Unmarshal(data, &values); err != nil {
		return Settings{}, Findings{syntaxFinding(name, err)}
	}
	var findings Findings
	s := readSettings(table{file: name, findings: &findings, values: values})
	if len(findings) > 0 {
		return Settings{}, findings
	}
	return s, nil
}

// syntaxFinding returns the finding of a file that isn't valid TOML.
func syntaxFinding(name string, err error) Finding {
	key := "not TOML"
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, column := decodeErr.Position()
		key = fmt.Sprintf("line %d, column %d", line, column)
	}
	return Finding{File: name, Key: key, Text: err.Error()}
}
