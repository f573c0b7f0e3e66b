"""HTTP endpoints for callers and operators."""
