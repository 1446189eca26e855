"""Files that are replaced atomically: writing, reading, watching, and the folder that one controller owns."""
