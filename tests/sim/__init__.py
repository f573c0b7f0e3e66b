"""Simulations of daemons on virtual time, with fakes in place of sockets."""
