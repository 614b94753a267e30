//! Operators interface: protobuf schema, gRPC service and client.
