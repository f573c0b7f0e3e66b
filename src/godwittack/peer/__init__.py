"""Messages between daemons: calls, streams of news, and probes."""
