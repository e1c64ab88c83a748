package settings

// Parse reads settings of a role's type from a source that need not be a file.
func Parse[T any](source Source) (*T, error) {
	target := new(T)
	if err := source.decode(target); err != nil {
		return nil, err
	}
	return target, nil
}
