"""Limits over all daemons, fair order and retry budgets."""
