"""OpenTelemetry metrics with a Prometheus endpoint."""
