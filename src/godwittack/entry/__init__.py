"""Callers' and operators' side over HTTP."""
