package settings

import (
	"balsamsail/internal/settings/inifile"
)

// Role is the kind of process that a settings file configures.
type Role string

// The roles.
const (
	RoleEntry           Role = "entry"
	RoleGateway         Role = "gateway"
	RoleEngineAgent     Role = "engine agent"
	RoleAgent           Role = "agent"
	RoleStandinPlatform Role = "standin platform"
	RoleStandinEngine   Role = "standin engine"
	RoleStandinService  Role = "standin service"
)

// Describe returns a commented file of all settings of a role, with allowed values and defaults; it is empty for an
// unknown role.
func Describe(role Role) string {
	switch role {
	case RoleEntry:
		return inifile.Describe(&Entry{})
	case RoleAgent:
		return inifile.Describe(&Agent{})
	case RoleGateway:
		return inifile.Describe(&Gateway{})
	case RoleEngineAgent:
		return inifile.Describe(&EngineAgent{})
	case RoleStandinPlatform:
		return inifile.Describe(&StandinPlatform{})
	case RoleStandinEngine:
		return inifile.Describe(&StandinEngine{})
	case RoleStandinService:
		return inifile.Describe(&StandinService{})
	default:
		return ""
	}
}

// CheckFile reads a settings file as the process that it configures would, and returns that process's role, which it
// derives from the file's sections.
func CheckFile(path string, sets ...string) (Role, error) {
	source, err := ReadSource(path, sets...)
	if err != nil {
		return "", err
	}
	role := roleOf(inifile.Parse(source.File, source.Data))
	switch role {
	case RoleAgent:
		_, err = LoadAgent(path, sets...)
	case RoleGateway:
		_, err = LoadGateway(path, sets...)
	case RoleEngineAgent:
		_, err = LoadEngineAgent(path, sets...)
	case RoleStandinPlatform:
		_, err = LoadStandinPlatform(path, sets...)
	case RoleStandinEngine:
		_, err = LoadStandinEngine(path, sets...)
	case RoleStandinService:
		_, err = LoadStandinService(path, sets...)
	default:
		_, err = LoadEntry(path, sets...)
	}
	return role, err
}

func roleOf(document *inifile.Document) Role {
	has := func(kind string) bool { return document.Find(kind, "") != nil }
	switch {
	case has("agent"):
		return RoleAgent
	case has("gateway"):
		return RoleGateway
	case has("engine_agent"):
		return RoleEngineAgent
	case has("standin") && has("engine"):
		return RoleStandinEngine
	case has("standin") && has("service"):
		return RoleStandinService
	case has("standin"):
		return RoleStandinPlatform
	default:
		return RoleEntry
	}
}
