package inifile

import "strings"

// lineIndex records the lines of a file's sections and keys, which ini.v1 does not report.
type lineIndex struct {
	sections     []sectionLines
	unrecognized []int
}

// sectionLines holds the line of a section's title and, by key, the lines of the key's occurrences.
type sectionLines struct {
	header int
	keys   map[string][]int
}

func (p lineIndex) at(i int) sectionLines {
	if i >= len(p.sections) {
		return sectionLines{}
	}
	return p.sections[i]
}

// line returns the line of a key's nth occurrence, counted from 0, or the title's line if there is none.
func (p sectionLines) line(key string, n int) int {
	if n < len(p.keys[key]) {
		return p.keys[key][n]
	}
	return p.header
}

// scanLines records the lines of sections and keys in the order in which ini.v1 returns them; the first section holds
// what precedes any title.
func scanLines(data []byte) lineIndex {
	lines := lineIndex{sections: []sectionLines{{keys: map[string][]int{}}}}
	text := strings.TrimPrefix(string(data), "\ufeff")
	for i, line := range strings.Split(text, "\n") {
		number := i + 1
		line = strings.TrimSpace(line)
		key, _, assigned := strings.Cut(line, "=")
		key = strings.Trim(strings.TrimSpace(key), "\"`")
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			lines.sections = append(lines.sections, sectionLines{header: number, keys: map[string][]int{}})
		case !assigned || key == "":
			lines.unrecognized = append(lines.unrecognized, number)
		default:
			keys := lines.sections[len(lines.sections)-1].keys
			keys[key] = append(keys[key], number)
		}
	}
	return lines
}
