"""Where a prompt should run: levels, hashing, caches and scores."""
