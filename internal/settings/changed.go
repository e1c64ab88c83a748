package settings

import "reflect"

// ChangedSections returns the sections in which two settings of the same type differ, in file order.
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
