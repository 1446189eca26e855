"""The controller's event records: sessions, updates and acknowledgements, one JSON object per line."""
