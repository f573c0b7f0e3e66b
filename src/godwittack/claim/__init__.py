"""Claims for calls that may run at most once, kept in the table service."""
