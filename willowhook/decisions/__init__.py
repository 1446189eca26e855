"""All decisions of a controller, without I/O or clock: events come in, commands go out.

`Controller` (controller.py) is the entry point. Events are in events.py, the commands that a controller gives
in runtime.py, the deployment's settings in settings.py. Times are ticks (`willowhook.ticks`).
"""
