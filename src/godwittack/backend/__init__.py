"""Backend servers: model engines and plain services."""
