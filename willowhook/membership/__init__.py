"""Who controls a proxy, who counts as dead, and which endpoints stand by: no I/O and no clock.

One module a concern: the controller that a proxy prefers (`assignment`), the fencing of updates by terms
(`ownership`, `version`), when a proxy reconnects (`reconnect`), silence (`failure_detector`, `timing_wheel`),
handoff between controllers (`handoff`), priority tiers of endpoints (`priority_tiers`), retries that are safe
(`retries`), and a model checker of the ownership protocol (`takeover_model`, `model_checker`).
"""
