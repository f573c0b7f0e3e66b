"""Test cases that feature files name, one function each."""
