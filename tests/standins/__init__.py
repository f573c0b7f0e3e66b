"""Stand-ins for the systems that daemons connect to."""
