"""Which controller owns a proxy, which peers count as dead, which endpoints are on standby; no I/O, no clock.

One module a concern: the controller that a proxy prefers (`assignment`), the fencing of updates by terms
(`ownership`, `version`), when a proxy reconnects (`reconnect`), silence (`failure_detector`, `timing_wheel`),
handoff between controllers (`handoff`), priority tiers of endpoints (`priority_tiers`), retries that are safe
(`retries`), and a model checker of the ownership protocol (`takeover_model`, `model_checker`).
"""
