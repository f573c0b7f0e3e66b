"""Clients of backend servers, which are model engines or plain services."""
