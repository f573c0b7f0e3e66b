"""Which daemons are alive, who does what, and who may serve."""
