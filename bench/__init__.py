"""Experiments and measurements on the real decision core."""
