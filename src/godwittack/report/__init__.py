"""Counts of late, refused and wasted work, and the report on them."""
