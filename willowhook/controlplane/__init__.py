"""The file and HTTP control plane: runs a controller, feeds it events and carries out its commands."""
