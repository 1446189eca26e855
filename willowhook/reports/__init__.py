"""Load reports of proxies on their way to the decisions: bounded, sampled, aged and summed; no I/O, no clock.

Reports wait in a `queue`, which keeps a sample of each proxy's, and are processed as the `budget` allows;
`read` checks one report, `windows` finds what of its time is new, `sample` makes sums of what was kept,
`sums` adds them up with `fading`, and `quarantine` leaves out proxies whose reports are malformed again and
again.
"""
