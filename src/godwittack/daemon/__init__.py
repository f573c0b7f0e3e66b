"""The daemon: shells around the core, each with its own loop."""
