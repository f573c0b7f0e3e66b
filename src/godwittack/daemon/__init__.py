"""The daemon process: network, storage and timers around the core."""
