package fleet

// SingleVersion returns the version of the software of a service's endpoints, if all that are listed have the same.
func (f *Fleet) SingleVersion(service string) (version string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		switch {
		case e.Service != service:
		case !ok:
			version, ok = e.Version, true
		case e.Version != version:
			return "", false
		}
	}
	return version, ok
}
