"""Starts stand-ins and daemons as processes, and ends them by id."""
