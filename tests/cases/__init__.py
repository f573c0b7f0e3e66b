"""Cases that features name, one function each."""
