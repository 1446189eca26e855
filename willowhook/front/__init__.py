"""The discovery server: authentication, limits, response order and response bodies of proxies' requests."""
