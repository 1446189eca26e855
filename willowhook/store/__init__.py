"""An embedded store: what was acknowledged survives crashes of process and power."""
