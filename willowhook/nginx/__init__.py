"""Import, comparison and export of nginx upstream and location blocks."""
