"""Passes requests to backend servers through other daemons.

A daemon that can't reach a server sends single attempts through a daemon that
can. The first one takes all decisions; the other one only checks that it
reaches the server and that the server accepts work from it, and never passes
the attempt on to a third.
"""
