package settings

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// EnvFile is the environment variable that gives the path of the settings file.
const EnvFile = "MOLEPADDLE_CONFIG"

// FromEnv loads the file that EnvFile names.
func FromEnv() (Settings, error) {
	path := os.Getenv(EnvFile)
	if path == "" {
		return Settings{}, errors.Errorf("%s is not set: it gives the path of the settings file", EnvFile)
	}
	return Load(path)
}

// Load reads and checks the file at path. Errors: that of reading the file, or Findings.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read the settings file")
	}
	return Parse(path, data)
}

// Parse checks the settings in data; name is the file's, for the findings. The error is of type Findings and holds
// all of them; it is nil only when the settings may be used.
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

// syntaxFinding is the finding of a file that can't be read as TOML.
func syntaxFinding(name string, err error) Finding {
	key := "not TOML"
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, column := decodeErr.Position()
		key = fmt.Sprintf("line %d, column %d", line, column)
	}
	return Finding{File: name, Key: key, Text: err.Error()}
}
