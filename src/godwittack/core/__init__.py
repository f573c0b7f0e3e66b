"""The decision logic of a daemon: maps inputs to effects, without I/O."""
