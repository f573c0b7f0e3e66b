"""Reads and validates a daemon's settings."""
