"""The file and HTTP control plane: runs a controller, passes it events and executes its commands."""
