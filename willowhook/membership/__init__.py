"""Who rules a proxy, who is thought dead, and where proxies go: decisions without I/O and without a clock."""
