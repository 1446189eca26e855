"""Versions of resources: what proxies are to run, and what each is known to run. No I/O, no clock."""
