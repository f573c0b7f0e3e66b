"""Recorded sessions: the core's inputs and effects, line by line."""
