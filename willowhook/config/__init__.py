"""What an operator gives a director: its JSON, the schema of that, and the checks of its values."""
