package measure

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Slopes is a list of recorded slopes in the order of their first measurement.
type Slopes []Slope

// Read reads the recorded slopes from a JSON file. It returns an error if the file is missing or invalid.
func Read(file string) (Slopes, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read slopes")
	}
	var s Slopes
	return s, errors.Wrap(json.Unmarshal(data, &s), "decode slopes")
}

// With returns the slopes with one added, or replaced if its name exists already.
func (s Slopes) With(fresh Slope) Slopes {
	for i, old := range s {
		if old.Name == fresh.Name {
			s[i] = fresh
			return s
		}
	}
	return append(s, fresh)
}

// Get returns the slope with the name. It returns an error if the slope has not been measured.
func (s Slopes) Get(name Name) (Slope, error) {
	for _, v := range s {
		if v.Name == name {
			return v, nil
		}
	}
	return Slope{}, errors.Errorf("slope %q has not been measured", name)
}
