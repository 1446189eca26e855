"""The table guard: no bad table reaches a proxy.  Decisions and state, without I/O and without a clock."""
