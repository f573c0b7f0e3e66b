"""What the platform offers: tables, objects, weights, instances."""
