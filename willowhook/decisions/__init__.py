"""The decision logic of a controller: maps events to commands, without I/O and without a clock of its own.

`Controller` (controller.py) is the entry point. events.py defines the events, runtime.py the commands and
settings.py the settings of a deployment. All times are in ticks (see `willowhook.ticks`).
"""
