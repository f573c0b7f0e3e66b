"""Daemons without sockets, on virtual time, with small fakes around them."""
