"""Adapter to the simulator: decodes its messages into events, and encodes commands as reply lines."""
