package drawndays

import (
	"os"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// Site is what drawing needs to know of a deployment.
type Site struct {
	Length float64 `toml:"length_s"`
	Zones  []struct {
		Name string `toml:"name"`
	} `toml:"zones"`
	Services []struct {
		Name  string `toml:"name"`
		Model string `toml:"model"`
	} `toml:"services"`
	Classes []struct {
		Name string `toml:"name"`
	} `toml:"classes"`
}

// ReadSite reads a site file.
func ReadSite(path string) (*Site, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "site file")
	}
	site := new(Site)
	if err := toml.Unmarshal(content, site); err != nil {
		return nil, errors.Wrap(err, "site file")
	}
	if len(site.Zones) == 0 || len(site.Services) == 0 || len(site.Classes) == 0 || site.Length <= 0 {
		return nil, errors.New("site file: zones, services, classes and length_s are needed")
	}
	return site, nil
}

// Options are those of a day of this deployment, without a seed.
func (s *Site) Options() Options {
	o := Options{Theme: ThemeAll, Length: s.Length, Service: s.Services[0].Name}
	for _, z := range s.Zones {
		o.Zones = append(o.Zones, z.Name)
	}
	for _, c := range s.Classes {
		o.Classes = append(o.Classes, c.Name)
	}
	for _, service := range s.Services {
		if service.Model != "" {
			o.Service = service.Name
		}
	}
	return o
}
