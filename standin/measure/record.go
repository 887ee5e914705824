package measure

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Slopes are recorded slopes, in the order in which they were first measured.
type Slopes []Slope

// Read reads recorded slopes, and fails where the file is missing or broken.
func Read(file string) (Slopes, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read slopes")
	}
	var s Slopes
	return s, errors.Wrap(json.Unmarshal(data, &s), "decode slopes")
}

// With returns the slopes with one added or replaced.
func (s Slopes) With(fresh Slope) Slopes {
	for i, old := range s {
		if old.Name == fresh.Name {
			s[i] = fresh
			return s
		}
	}
	return append(s, fresh)
}

// Get returns the slope of a name; one that was never measured is an error.
func (s Slopes) Get(name Name) (Slope, error) {
	for _, v := range s {
		if v.Name == name {
			return v, nil
		}
	}
	return Slope{}, errors.Errorf("slope %q was not measured", name)
}
