"""Which controller owns a proxy, which peers count as dead, which endpoints are on standby; no I/O, no clock.

The modules cover the controller that a proxy prefers (`assignment`), the fencing of updates by terms
(`ownership`, `version`), the time at which a proxy reconnects (`reconnect`), the detection of silent peers
(`failure_detector`, `timing_wheel`), hinted handoff between controllers (`handoff`), priority tiers of
endpoints (`priority_tiers`), safe retries (`retries`), and a model checker of the ownership protocol
(`takeover_model`, `model_checker`).
"""
