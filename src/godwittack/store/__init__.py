"""Platform services: tables, objects, weights, the instance list."""
