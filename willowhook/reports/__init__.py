"""Proxies' reports on their way to the decisions: bounded, sampled, aged, summed; no I/O, no clock."""
