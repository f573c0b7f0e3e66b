"""Messages between daemons over gRPC."""
