package timeline

import (
	"net/url"
	"slices"
)

// Filter selects events. An event must match one element of each non-empty list.
type Filter struct {
	Requests  []string
	Models    []string
	Endpoints []string
	Kinds     []Kind
}

// Match reports whether the filter selects the event. A model name without a version matches all versions.
func (f Filter) Match(e *Event) bool {
	if len(f.Requests) > 0 && !slices.Contains(f.Requests, e.Request) {
		return false
	}
	if len(f.Models) > 0 && !slices.ContainsFunc(f.Models, e.matchesModel) {
		return false
	}
	if len(f.Endpoints) > 0 && !slices.Contains(f.Endpoints, e.Endpoint) {
		return false
	}
	return len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Kind)
}

// versionSeparator separates a model's name from its version.
const versionSeparator = '@'

// matchesModel reports whether the event is about the model, given as "name" or "name@version".
func (e *Event) matchesModel(model string) bool {
	if e.Model == model {
		return true
	}
	n := len(model)
	return len(e.Model) > n && e.Model[:n] == model && e.Model[n] == versionSeparator
}

// Query returns the filter as query parameters.
func (f Filter) Query() url.Values {
	query := url.Values{}
	for _, request := range f.Requests {
		query.Add(paramRequest, request)
	}
	for _, model := range f.Models {
		query.Add(paramModel, model)
	}
	for _, endpoint := range f.Endpoints {
		query.Add(paramEndpoint, endpoint)
	}
	for _, kind := range f.Kinds {
		query.Add(paramKind, string(kind))
	}
	return query
}

// parseFilter parses the query parameters returned by Query.
func parseFilter(query url.Values) Filter {
	f := Filter{
		Requests:  query[paramRequest],
		Models:    query[paramModel],
		Endpoints: query[paramEndpoint],
	}
	for _, kind := range query[paramKind] {
		f.Kinds = append(f.Kinds, Kind(kind))
	}
	return f
}
