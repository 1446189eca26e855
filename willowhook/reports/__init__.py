"""Processing of the load reports of proxies, from arrival to the sums that decisions use; no I/O, no clock.

Reports wait in a `queue`, which keeps a bounded sample for each proxy, and are processed at the rate that the
`budget` allows. `read` parses and validates one report, `windows` finds the part of its time that was not
counted before, `sample` estimates the sums of all reports of a proxy from the sample, `sums` adds them up
with the exponential decay of `fading`, and `quarantine` skips proxies that repeatedly send malformed reports.
"""
