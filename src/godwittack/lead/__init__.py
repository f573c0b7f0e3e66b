"""Leads of models: leases, fencing numbers and weights roll-outs."""
