"""The platform's protocol without I/O: frames, the fields of messages, orders, lists of hosts."""
