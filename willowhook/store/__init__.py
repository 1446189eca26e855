"""An embedded store: acknowledged writes survive a crash of the process and a power failure."""
