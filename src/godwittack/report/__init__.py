"""What was late, refused or wasted, counted and put into sentences."""
