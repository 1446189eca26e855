"""The command line, `willowhook`."""
