"""The published xDS v3 messages in proto3 JSON, their codec, and their meaning to a proxy. No I/O."""
