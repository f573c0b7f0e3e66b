"""The decisions of a daemon, without I/O: inputs go in, effects come out."""
