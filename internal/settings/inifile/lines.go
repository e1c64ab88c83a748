package inifile

import "strings"

// linePlaces says on which lines a file's sections and keys stand, which ini.v1 does not tell.
type linePlaces struct {
	sections     []sectionPlace
	unrecognized []int
}

// sectionPlace is the line of a section's title and, by key, the lines on which the key stands.
type sectionPlace struct {
	header int
	keys   map[string][]int
}

func (p linePlaces) at(i int) sectionPlace {
	if i >= len(p.sections) {
		return sectionPlace{}
	}
	return p.sections[i]
}

// line returns the line of a key's nth occurrence, or the title's where there is none.
func (p sectionPlace) line(key string, n int) int {
	if n < len(p.keys[key]) {
		return p.keys[key][n]
	}
	return p.header
}

// scanLines finds the places of sections and keys in the order in which ini.v1 returns them; the first section holds
// what stands before any title.
func scanLines(data []byte) linePlaces {
	places := linePlaces{sections: []sectionPlace{{keys: map[string][]int{}}}}
	text := strings.TrimPrefix(string(data), "\ufeff")
	for i, line := range strings.Split(text, "\n") {
		number := i + 1
		line = strings.TrimSpace(line)
		key, _, assigned := strings.Cut(line, "=")
		key = strings.Trim(strings.TrimSpace(key), "\"`")
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			places.sections = append(places.sections, sectionPlace{header: number, keys: map[string][]int{}})
		case !assigned || key == "":
			places.unrecognized = append(places.unrecognized, number)
		default:
			keys := places.sections[len(places.sections)-1].keys
			keys[key] = append(keys[key], number)
		}
	}
	return places
}
