"""The director's own record: what it believed, ordered and saw applied, a JSON object a line."""
