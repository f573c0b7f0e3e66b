"""Claims of calls that may run at most once, in the table service."""
