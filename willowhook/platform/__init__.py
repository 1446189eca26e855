"""The platform protocol, and the server that runs a controller on it."""
