"""Messages between daemons: calls, update streams and datagrams."""
