// Package hoistv1 contains the protobuf messages and gRPC services that the processes of
// hornbeamhoist use among themselves. The generated code is committed, so that a build
// does not need protoc.
package hoistv1

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative hoist.proto fleet.proto
