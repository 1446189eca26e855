"""Files that are swapped whole: writing, reading, watching, and the folder that one director owns."""
