"""Reads upstream and location blocks in the published configuration language."""
