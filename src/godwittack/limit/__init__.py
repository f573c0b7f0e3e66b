"""Limits shared by all daemons, fair queueing and retry budgets."""
