package settings

// Parse reads the settings of type T from a source, which need not be a file.
func Parse[T any](source Source) (*T, error) {
	target := new(T)
	if err := source.decode(target); err != nil {
		return nil, err
	}
	return target, nil
}
