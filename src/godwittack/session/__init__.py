"""Recorded sessions: the core's inputs and effects, one per line."""
