"""The xDS discovery server: authentication, limits, response order and bodies for proxies' requests."""
