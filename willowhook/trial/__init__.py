"""Trials on loopback: stand-ins for hosts, proxies, clients, the roster; troubles; a judge of the rules."""
