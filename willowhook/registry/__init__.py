"""Service discovery: the response format of the service registry, and a client that uses blocking queries."""
