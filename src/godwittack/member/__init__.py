"""Membership of daemons, their assignments and their serving leases."""
