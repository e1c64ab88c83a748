package timeline

import (
	"net/url"
	"slices"
)

// Filter chooses events. An empty list lets all pass; otherwise an event must match one of each list.
type Filter struct {
	Requests  []string
	Models    []string
	Endpoints []string
	Kinds     []Kind
}

// Match reports whether the event passes. A model also matches by its name without version.
func (f Filter) Match(e *Event) bool {
	if len(f.Requests) > 0 && !slices.Contains(f.Requests, e.Request) {
		return false
	}
	if len(f.Models) > 0 && !slices.ContainsFunc(f.Models, e.isOf) {
		return false
	}
	if len(f.Endpoints) > 0 && !slices.Contains(f.Endpoints, e.Endpoint) {
		return false
	}
	return len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Kind)
}

// versionSeparator stands between a model's name and its version.
const versionSeparator = '@'

// isOf reports whether the event concerns the model, given as "name" or "name@version".
func (e *Event) isOf(model string) bool {
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

// filterFrom reads what Query wrote.
func filterFrom(query url.Values) Filter {
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
