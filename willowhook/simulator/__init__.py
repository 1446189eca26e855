"""The adapter to the simulator: lines of its wire to events for the decisions, and commands back to lines."""
