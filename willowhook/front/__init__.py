"""The front that answers proxies' calls: who calls, what it may, in which order, and with which bytes."""
