package settings

import "reflect"

// ChangedSections names the sections in which two settings of one kind differ, in their order in the file.
func ChangedSections(before, after any) []string {
	b, a := reflect.ValueOf(before).Elem(), reflect.ValueOf(after).Elem()
	var changed []string
	for i := range b.NumField() {
		section, ok := b.Type().Field(i).Tag.Lookup("section")
		if ok && !reflect.DeepEqual(b.Field(i).Interface(), a.Field(i).Interface()) {
			changed = append(changed, section)
		}
	}
	return changed
}
