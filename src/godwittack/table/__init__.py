"""The operators' table: rows, cells, changes and their history."""
