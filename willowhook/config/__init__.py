"""The configuration of a controller: its JSON form, its JSON Schema, and the validation of its values."""
