"""Data for placing prompts: levels, rendezvous hashing, cache contents."""
