// Package hoistv1 holds the protobuf messages and gRPC services between the
// processes of hornbeamhoist. The generated code is committed, so that a build
// needs no generator.
package hoistv1

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative hoist.proto fleet.proto
