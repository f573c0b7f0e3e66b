"""Leads of models: leases, fencing numbers and roll-outs of weights."""
